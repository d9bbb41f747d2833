/**
 * Reads whose life it is.
 *
 * @param life - unique name of one life of an instance, as `NAME-HEX`
 * @returns the instance's name
 */
export function instanceOfLife(life: string): string {
  return life.slice(0, life.lastIndexOf('-'));
}
