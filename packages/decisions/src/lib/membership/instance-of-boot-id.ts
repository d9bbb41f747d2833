/**
 * Extracts the name of the instance from the id of one of its runs.
 *
 * @param bootId - unique id of one run (start to exit) of an instance, in the form `NAME-HEX`
 * @returns the instance's name
 */
export function instanceOfBootId(bootId: string): string {
  return bootId.slice(0, bootId.lastIndexOf('-'));
}
