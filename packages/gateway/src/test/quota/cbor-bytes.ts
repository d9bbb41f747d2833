/** Sizes of integers in CBOR, in bytes, below the given values. */
const INTEGER_BYTES = [
  [24, 1],
  [2 ** 8, 2],
  [2 ** 16, 3],
  [2 ** 32, 5],
] as const;

/**
 * @param value - a message between instances
 * @returns its size on the wire, in bytes
 */
export function cborBytes(value: unknown): number {
  if (typeof value === 'boolean' || value === undefined) return 1;
  if (typeof value === 'string') return 1 + value.length;
  if (typeof value === 'number') {
    if (!Number.isInteger(value)) return 9;
    return INTEGER_BYTES.find(([limit]) => value < limit)?.[1] ?? 9;
  }
  const parts = Array.isArray(value)
    ? (value as unknown[])
    : Object.entries(value as Record<string, unknown>).flat();
  return parts.reduce<number>((sum, part) => sum + cborBytes(part), 3);
}
