import { closest, distance } from 'fastest-levenshtein';

/**
 * Finds the known name nearest to a misspelt one.
 *
 * @param wrong - the name as written
 * @param known - the names that would be right
 * @returns the nearest name, or `undefined` when none is near
 */
export function nearName(wrong: string, known: readonly string[]): string | undefined {
  if (known.length === 0) return undefined;
  const candidate = closest(wrong, [...known]);
  return distance(wrong, candidate) <= Math.max(2, wrong.length / 3) ? candidate : undefined;
}
