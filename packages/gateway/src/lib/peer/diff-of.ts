import { isPlainObject } from './is-plain-object.js';

/**
 * Compares two values of JSON's types, without `null`.
 *
 * @param previous - the value that the receiver has
 * @param next - the value that it shall have
 * @returns a JSON merge patch (RFC 7396) that turns `previous` into `next`, for `applyPatch`; `undefined`
 *   when they are equal
 */
export function diffOf(previous: unknown, next: unknown): unknown {
  if (previous === next) return undefined;
  if (isPlainObject(previous) && isPlainObject(next)) {
    const patch: Record<string, unknown> = {};
    Object.keys(previous).forEach((key) => {
      if (next[key] === undefined) patch[key] = null;
    });
    Object.entries(next).forEach(([key, value]) => {
      const change = value === undefined ? undefined : diffOf(previous[key], value);
      if (change !== undefined) patch[key] = change;
    });
    return Object.keys(patch).length === 0 ? undefined : patch;
  }
  const isSameList =
    Array.isArray(previous) &&
    Array.isArray(next) &&
    previous.length === next.length &&
    next.every((item, index) => diffOf(previous[index], item) === undefined);
  return isSameList ? undefined : next;
}
