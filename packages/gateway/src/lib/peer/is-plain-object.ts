/**
 * @param value - any value
 * @returns whether it is an object with named properties rather than a list or a scalar
 */
export const isPlainObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
