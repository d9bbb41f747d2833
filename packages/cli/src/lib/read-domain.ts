import { DomainLedger } from '@chervilseam/decisions';
import type { LogPort } from '@chervilseam/ports';

const PAGE_COUNT = 500;

/**
 * Folds the stream of a failure domain, as its instances do.
 *
 * @param log - the platform's log
 * @param failureDomain - the failure domain
 * @returns its ledger
 */
export async function readDomain(log: LogPort, failureDomain: string): Promise<DomainLedger> {
  const ledger = new DomainLedger();
  for (;;) {
    // eslint-disable-next-line no-await-in-loop -- pages follow one another
    const page = await log.read(`domain-${failureDomain}`, ledger.offset + 1, PAGE_COUNT);
    page.records.forEach((record) => {
      if (record.offset === ledger.offset + 1) ledger.apply(record);
      else ledger.skipTo(record, page.firstOffset);
    });
    if (page.records.length < PAGE_COUNT) return ledger;
  }
}
