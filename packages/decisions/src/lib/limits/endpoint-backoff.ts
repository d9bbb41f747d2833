/** Longest time that an endpoint is granted at once, in milliseconds: an odd value must not exclude an endpoint. */
const BACKOFF_MAX_MS = 30_000;

/** The time for which an endpoint has asked for no requests: it backs off its callers. */
export class EndpointBackoff {
  #untilMs = -Infinity;

  /**
   * Records that the endpoint asks to retry later; of several times that overlap, the one that ends last counts.
   *
   * @param durationMs - how long, in milliseconds; without effect unless it is more than 0
   * @param nowMs - monotonic clock, in milliseconds
   */
  begin(durationMs: number, nowMs: number): void {
    if (!(durationMs > 0)) return;
    this.#untilMs = Math.max(this.#untilMs, nowMs + Math.min(durationMs, BACKOFF_MAX_MS));
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns time until the endpoint takes requests again, in milliseconds; 0 when it does now
   */
  leftMs(nowMs: number): number {
    return Math.max(0, this.#untilMs - nowMs);
  }
}
