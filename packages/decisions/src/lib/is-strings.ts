/**
 * @param value - a value that another instance sent
 * @returns whether it is a list of strings
 */
export const isStrings = (value: unknown): value is string[] =>
  Array.isArray(value) && value.every((item) => typeof item === 'string');
