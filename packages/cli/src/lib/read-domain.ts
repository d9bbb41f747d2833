import { DomainLedger } from '@chervilseam/decisions';
import type { LogPort } from '@chervilseam/ports';

/** Number of records to ask for in one read. */
const PAGE_SIZE = 500;

/**
 * Reads the log stream of a failure domain to its end and folds its records, with the same result as at
 * the instances of the domain.
 *
 * @param log - the platform's log
 * @param failureDomain - the failure domain
 * @returns the ledger of its engines' owners, orders and memory
 */
export async function readDomain(log: LogPort, failureDomain: string): Promise<DomainLedger> {
  const ledger = new DomainLedger();
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- pages follow one another
    const page = await log.read(`domain-${failureDomain}`, ledger.offset + 1, PAGE_SIZE);
    page.records.forEach((record) => {
      if (record.offset === ledger.offset + 1) ledger.apply(record);
      else ledger.skipTo(record, page.firstOffset);
    });
    if (page.records.length < PAGE_SIZE) return ledger;
  }
}
