import type { KeyClaim } from './key-claim.js';
import type { KeyLedger } from './key-ledger.js';
import type { KeyVerdict } from './key-verdict.js';

/**
 * Judges a claim by what a ledger holds.
 *
 * @param ledger - the ledger, with the claim's intent applied
 * @param claim - the claim
 * @returns the verdict
 */
export function judgeKey(ledger: KeyLedger, { key, digest, attempt }: KeyClaim): KeyVerdict {
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
