import { createHash, timingSafeEqual } from 'node:crypto';
import type { ConfigView } from '@chervilseam/decisions';
import { Outcome, RefusalError } from '@chervilseam/model';

const BEARER = 'Bearer ';

/**
 * Finds the caller that an API key belongs to. Only digests are kept and compared.
 *
 * @param view - the configuration in force
 * @param authorization - the header, if there was one
 * @returns the caller's name
 * @throws RefusalError for no key or an unknown one
 */
export function authenticate(view: ConfigView, authorization: string | undefined): string {
  if (!authorization?.startsWith(BEARER)) {
    const options = { code: 'unauthorized', outcome: Outcome.notRun } as const;
    throw new RefusalError(options, 'no bearer key');
  }
  const key = authorization.slice(BEARER.length);
  const digest = createHash('sha256').update(key).digest();
  const caller = view.callersByKey.get(digest.toString('hex'));
  if (caller && timingSafeEqual(Buffer.from(caller.keySha256, 'hex'), digest)) return caller.name;
  throw new RefusalError({ code: 'unauthorized', outcome: Outcome.notRun }, 'the key is not known');
}
