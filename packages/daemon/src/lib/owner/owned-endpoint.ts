import { EndpointControl } from '@chervilseam/decisions';

/**
 * Target of the concurrency limit: maximum time between the tokens of a stream, in milliseconds.
 */
const TOKEN_TARGET_MS = 37;
/** Ends a server-sent event. */
const EVENT_END = '\n\n';

/**
 * An endpoint at its owner, or at an instance that runs requests in place of the owner: admission
 * control, and the token rate that it is based on.
 */
export class OwnedEndpoint {
  readonly name: string;
  readonly control: EndpointControl;
  /** Number of streamed answers in progress, without those held back by a slow receiver. */
  streamCount = 0;
  /** Number of tokens since the start of the window. */
  #tokenCount = 0;
  #windowStartMs: number;

  /**
   * @param name - name of the endpoint
   * @param driver - kind of the endpoint; only engines produce tokens
   * @param concurrencyMax - maximum number of concurrent requests, from the configuration
   * @param nowMs - monotonic clock, in milliseconds
   */
  constructor(name: string, driver: 'engine' | 'service', concurrencyMax: number, nowMs: number) {
    this.name = name;
    const tokenTargetMs = driver === 'engine' ? TOKEN_TARGET_MS : undefined;
    this.control = new EndpointControl({ concurrencyMax, tokenTargetMs });
    this.#windowStartMs = nowMs;
  }

  /**
   * Counts the tokens in a chunk of a stream. Each server-sent event counts as one token, which is
   * an approximation; an event end that is split between two chunks is not counted.
   *
   * @param data - the chunk
   */
  countTokens(data: Buffer): void {
    for (let at = data.indexOf(EVENT_END); at >= 0; at = data.indexOf(EVENT_END, at + 2)) {
      this.#tokenCount += 1;
    }
  }

  /**
   * Passes the measurements of the current window to the admission control and starts a new window.
   *
   * @param nowMs - monotonic clock, in milliseconds
   */
  endWindow(nowMs: number): void {
    this.control.onWindow(this.streamCount, this.#tokenCount, nowMs - this.#windowStartMs);
    this.#tokenCount = 0;
    this.#windowStartMs = nowMs;
  }
}
