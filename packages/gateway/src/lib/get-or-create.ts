/**
 * @param map - values by key
 * @param key - a key
 * @param create - creates the value of a key that has none
 * @returns the value of the key; created and kept on first use
 */
export function getOrCreate<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  create: () => Value,
): Value {
  const known = map.get(key);
  if (known !== undefined) return known;
  const created = create();
  map.set(key, created);
  return created;
}
