import { EndpointControl } from '@chervilseam/decisions';

const TOKEN_TARGET_MS = 37;
const EVENT_END = '\n\n';

/** One endpoint at its owner: what decides, and the tokens that pass. */
export class OwnedEndpoint {
  readonly name: string;
  readonly control: EndpointControl;
  /** Answers that are being streamed; a count. */
  streamCount = 0;
  #tokenCount = 0;
  #windowStartMs: number;

  /**
   * @param name - the endpoint
   * @param driver - its kind
   * @param concurrencyMax - the operator's bound on requests side by side
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  constructor(name: string, driver: 'engine' | 'service', concurrencyMax: number, nowMs: number) {
    this.name = name;
    const tokenTargetMs = driver === 'engine' ? TOKEN_TARGET_MS : undefined;
    this.control = new EndpointControl({ concurrencyMax, tokenTargetMs });
    this.#windowStartMs = nowMs;
  }

  /**
   * Counts the tokens of a part of a stream. An event is a token, near enough.
   *
   * @param data - the part
   */
  countTokens(data: Buffer): void {
    for (let at = data.indexOf(EVENT_END); at >= 0; at = data.indexOf(EVENT_END, at + 2)) {
      this.#tokenCount += 1;
    }
  }

  /**
   * Ends a window of time.
   *
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  endWindow(nowMs: number): void {
    this.control.onWindow(this.streamCount, this.#tokenCount, nowMs - this.#windowStartMs);
    this.#tokenCount = 0;
    this.#windowStartMs = nowMs;
  }
}
