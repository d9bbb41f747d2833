const MODEL_PREFIX = 'model/';

/**
 * Extracts the model's name from the name of an item on an engine.
 *
 * @param item - `model/NAME@VERSION` or `adapter/NAME`
 * @returns the model's name, or `undefined` for an adapter
 */
export function modelOfItem(item: string): string | undefined {
  return item.startsWith(MODEL_PREFIX) ? item.slice(MODEL_PREFIX.length).split('@')[0] : undefined;
}
