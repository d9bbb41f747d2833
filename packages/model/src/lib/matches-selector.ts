import type { Selector } from './selector.js';

/**
 * @param selector - the conditions; a selector without conditions matches any labels
 * @param labels - the labels of an object
 * @returns whether the labels satisfy all conditions of the selector
 */
export function matchesSelector(
  selector: Selector,
  labels: Readonly<Record<string, string>>,
): boolean {
  const has = (key: string): boolean => Object.hasOwn(labels, key);
  const hasOneOf = ([key, values]: [string, readonly string[]]): boolean =>
    has(key) && values.includes(labels[key]);
  return (
    Object.entries(selector.equal).every(([key, value]) => has(key) && labels[key] === value) &&
    Object.entries(selector.anyOf).every(hasOneOf) &&
    !Object.entries(selector.noneOf).some(hasOneOf) &&
    selector.exists.every(has) &&
    !selector.absent.some(has)
  );
}
