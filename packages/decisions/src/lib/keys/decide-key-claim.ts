import type { KeyClaim } from './key-claim.js';
import type { KeyLedger } from './key-ledger.js';
import type { KeyVerdict } from './key-verdict.js';

/**
 * Decides a claim from the state of the key in a ledger.
 *
 * @param ledger - the ledger, after the claim's intent has been applied if there is one
 * @param claim - the claim
 * @returns the verdict
 */
export function decideKeyClaim(ledger: KeyLedger, { key, digest, attempt }: KeyClaim): KeyVerdict {
  if (!ledger.isWhole) return { type: 'expired' };
  const record = ledger.get(key);
  if (record.state === 'intended' && record.attempt === attempt) return { type: 'granted' };
  if (record.state !== 'absent' && record.digest !== digest) return { type: 'reused' };
  const verdicts: Readonly<Record<string, KeyVerdict>> = {
    intended: { type: 'held', attempt: record.attempt, dispatcher: record.dispatcher },
    ran: { type: 'replay', status: record.status, body: record.body },
    unknown: { type: 'unknown' },
  };
  return verdicts[record.state] ?? { type: 'unordered' };
}
