import { closest, distance } from 'fastest-levenshtein';

/**
 * Finds the valid name that is probably meant by a misspelled one.
 *
 * @param misspelled - the name as written
 * @param known - the valid names
 * @returns the valid name with the least edit distance, or `undefined` if even that differs by more than
 *   2 characters and more than a third of the misspelled name's length
 */
export function closestName(misspelled: string, known: readonly string[]): string | undefined {
  if (known.length === 0) return undefined;
  const candidate = closest(misspelled, [...known]);
  return distance(misspelled, candidate) <= Math.max(2, misspelled.length / 3)
    ? candidate
    : undefined;
}
