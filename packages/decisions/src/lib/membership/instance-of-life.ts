/**
 * Extracts the name of the instance from the id of one of its runs.
 *
 * @param life - unique id of one run (start to exit) of an instance, in the form `NAME-HEX`
 * @returns the instance's name
 */
export function instanceOfLife(life: string): string {
  return life.slice(0, life.lastIndexOf('-'));
}
