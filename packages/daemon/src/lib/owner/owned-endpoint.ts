import { EndpointQueue } from '@chervilseam/decisions';
import type { EndpointLoad } from '@chervilseam/decisions';

const SMOOTHING = 0.2;

/** The queue of one endpoint and what its answers showed of its speed. */
export class OwnedEndpoint {
  readonly name: string;
  readonly queue: EndpointQueue;
  #firstTokenMs = 0;
  #serviceMs = 0;

  /**
   * @param name - the endpoint
   * @param limit - requests that may run side by side
   */
  constructor(name: string, limit: number) {
    this.name = name;
    this.queue = new EndpointQueue(limit);
  }

  /** The load, as entries are told. */
  get load(): EndpointLoad {
    const { runningCount, waitingCount, limit } = this.queue;
    const waitMs = (waitingCount * this.#serviceMs) / limit;
    return { runningCount, waitingCount, limit, waitMs, firstTokenMs: this.#firstTokenMs };
  }

  /** @param durationMs - time from sending to the head of the answer, in milliseconds */
  observeHead(durationMs: number): void {
    this.#firstTokenMs += SMOOTHING * (durationMs - this.#firstTokenMs);
  }

  /** @param durationMs - time from sending to the end of the answer, in milliseconds */
  observeEnd(durationMs: number): void {
    this.#serviceMs += SMOOTHING * (durationMs - this.#serviceMs);
  }
}
