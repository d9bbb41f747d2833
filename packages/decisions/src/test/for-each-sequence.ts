/**
 * Runs every sequence of a length.
 *
 * @param operations - what can happen at each step
 * @param length - steps of a sequence
 * @param visit - takes each sequence
 * @returns how many sequences there were
 */
export function forEachSequence<T>(
  operations: readonly T[],
  length: number,
  visit: (sequence: readonly T[]) => void,
): number {
  const total = operations.length ** length;
  for (let number = 0; number < total; number += 1) {
    let rest = number;
    const sequence = Array.from({ length }, () => {
      const operation = operations[rest % operations.length];
      rest = Math.floor(rest / operations.length);
      return operation;
    });
    visit(sequence);
  }
  return total;
}
