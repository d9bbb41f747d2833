import type { Selector } from './selector.js';

/**
 * Tells whether labels satisfy every condition of a selector.
 *
 * @param selector - the conditions; one without conditions matches all
 * @param labels - the labels of an object
 * @returns whether all conditions hold
 */
export function matchesSelector(
  selector: Selector,
  labels: Readonly<Record<string, string>>,
): boolean {
  const has = (key: string): boolean => Object.hasOwn(labels, key);
  const isIn = ([key, values]: [string, readonly string[]]): boolean =>
    has(key) && values.includes(labels[key]);
  return (
    Object.entries(selector.equal).every(([key, value]) => has(key) && labels[key] === value) &&
    Object.entries(selector.anyOf).every(isIn) &&
    !Object.entries(selector.noneOf).some(isIn) &&
    selector.exists.every(has) &&
    !selector.absent.some(has)
  );
}
