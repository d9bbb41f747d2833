import type { ConfigView } from '@chervilseam/decisions';
import { keyDigestOf, Outcome, RefusalError } from '@chervilseam/model';

const BEARER_PREFIX = 'Bearer ';

/**
 * Finds the caller that an API key belongs to. The configuration contains only digests of keys.
 *
 * @param view - the configuration in force
 * @param authorization - the `authorization` header, if there is one
 * @returns the caller's name
 * @throws RefusalError if the key is missing or unknown
 */
export function authenticate(view: ConfigView, authorization: string | undefined): string {
  if (!authorization?.startsWith(BEARER_PREFIX)) {
    const options = { code: 'unauthorized', outcome: Outcome.notRun } as const;
    throw new RefusalError(options, 'no bearer key');
  }
  const digest = keyDigestOf(authorization.slice(BEARER_PREFIX.length));
  const caller = view.callersByKey.get(digest);
  if (caller) return caller.name;
  throw new RefusalError({ code: 'unauthorized', outcome: Outcome.notRun }, 'the key is not known');
}
