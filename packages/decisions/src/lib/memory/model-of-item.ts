const MODEL_PREFIX = 'model/';

/**
 * Reads the model that an engine's item is a version of.
 *
 * @param item - `model/NAME@VERSION` or `adapter/NAME`
 * @returns the model's name, or `undefined` for an adapter
 */
export function modelOfItem(item: string): string | undefined {
  return item.startsWith(MODEL_PREFIX) ? item.slice(MODEL_PREFIX.length).split('@')[0] : undefined;
}
