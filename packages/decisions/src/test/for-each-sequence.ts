/**
 * Calls a function with every sequence of operations of a given length.
 *
 * @param operations - the operations that are possible at each step
 * @param length - number of steps in a sequence
 * @param visit - is called with each sequence
 * @returns the number of sequences
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
