/** The places that a request waits for. */
interface PlaceCase {
  /** Number of requests that go before it. */
  readonly aheadCount: number;
  /** Number of places at the endpoints that can serve it. */
  readonly placeCount: number;
  /** Mean time for which a request occupies a place, in milliseconds; `undefined` when unknown. */
  readonly holdMs: number | undefined;
}

/**
 * @param places - the places that a request waits for, all of which are taken
 * @returns expected time until a place becomes free for it, in milliseconds; `undefined` when unknown
 */
export function placeEtaMs({ aheadCount, placeCount, holdMs }: PlaceCase): number | undefined {
  if (holdMs === undefined || placeCount === 0) return undefined;
  return ((aheadCount + 1) * holdMs) / placeCount;
}
