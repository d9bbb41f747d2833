import { isPlainObject } from './is-plain-object.js';

/**
 * Applies a JSON merge patch (RFC 7396). Unchanged parts of the value are shared with the result.
 *
 * @param value - the value before the change; it is not modified
 * @param patch - the change, from `diffOf`
 * @returns the value after the change
 */
export function applyPatch(value: unknown, patch: unknown): unknown {
  if (!isPlainObject(patch)) return patch;
  const result = new Map(isPlainObject(value) ? Object.entries(value) : []);
  Object.entries(patch).forEach(([key, change]) => {
    if (change === null) result.delete(key);
    else result.set(key, applyPatch(result.get(key), change));
  });
  return Object.fromEntries(result);
}
