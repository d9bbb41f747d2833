import { createHash } from 'node:crypto';
import type { CallerHead } from '../ports/caller-head.js';

/**
 * @param head - headers of a caller's request
 * @param method - HTTP method
 * @param path - path with the query
 * @param body - body of the request
 * @returns ids of what the request holds and what may end an engine: the parts of its prompt and, last, the
 *   request as a whole, which is the same when its caller repeats it
 */
export const suspectPartsOf = (
  { promptParts }: CallerHead,
  method: string,
  path: string,
  body: Buffer,
): readonly string[] => {
  const ids = promptParts.map(({ id }) => id);
  const digest = createHash('sha1')
    .update(`${method} ${path}\n${ids.join()}\n`)
    .update(body)
    .digest('base64url');
  return [...ids, `whole:${digest}`];
};
