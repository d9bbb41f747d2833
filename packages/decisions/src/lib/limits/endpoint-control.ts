import type { EndpointLoad } from '../routing/endpoint-load.js';
import { ConcurrencyLimit } from './concurrency-limit.js';
import { EndpointQueue } from './endpoint-queue.js';
import { EndpointSpeed } from './endpoint-speed.js';
import type { QueueTicket } from './queue-ticket.js';

/** Weight of a new value in the moving averages. */
const SMOOTHING_WEIGHT = 0.1;
/** Number of requests that may run at a slowed endpoint, to detect when it has recovered. */
const PROBE_REQUEST_COUNT = 1;
/**
 * Maximum number of requests moved away from a slowed endpoint in one window. Each moved request
 * has its prompt processed again at its new endpoint; moving all at once would delay new requests
 * there.
 */
const MOVES_PER_WINDOW_MAX = 3;

interface ControlOptions {
  /** Maximum number of concurrent requests, from the operator's configuration. */
  readonly concurrencyMax: number;
  /** Maximum time between tokens, in milliseconds; `undefined` for endpoints without tokens. */
  readonly tokenTargetMs: number | undefined;
}

/** The admission control of one endpoint, run by the instance that owns it. */
export class EndpointControl {
  readonly queue: EndpointQueue;
  readonly #speed = new EndpointSpeed();
  readonly #limit: ConcurrencyLimit | undefined;
  readonly #concurrencyMax: number;
  /** Maximum that {@link EndpointControl.limitConcurrency} has set; at most `#concurrencyMax`. */
  #limitMax: number;
  #firstTokenMs = 0;
  #serviceMs = 0;
  #serviceCount = 0;

  /** @param options - bounds and targets */
  constructor({ concurrencyMax, tokenTargetMs }: ControlOptions) {
    this.#concurrencyMax = concurrencyMax;
    this.#limitMax = concurrencyMax;
    const hasTokens = tokenTargetMs !== undefined;
    this.#limit = hasTokens ? new ConcurrencyLimit(concurrencyMax, tokenTargetMs) : undefined;
    this.queue = new EndpointQueue(this.#limit?.limit ?? concurrencyMax);
  }

  /** The load, as reported to the instances that send requests to this endpoint. */
  get load(): EndpointLoad {
    const { runningCount, waitingCount, limit } = this.queue;
    return {
      runningCount,
      waitingCount,
      limit,
      serviceMs: this.#serviceMs,
      firstTokenMs: this.#firstTokenMs,
      tokenMs: this.#speed.tokenMs,
      isSlowed: this.#speed.isSlowed,
    };
  }

  /**
   * Number of running requests that should be moved to other endpoints now; 0 unless the endpoint
   * is slowed. One request stays, so that the endpoint's recovery can be detected.
   */
  get moveCount(): number {
    if (!this.#speed.isSlowed) return 0;
    return Math.max(
      0,
      Math.min(MOVES_PER_WINDOW_MAX, this.queue.runningCount - PROBE_REQUEST_COUNT),
    );
  }

  /**
   * @returns tickets removed from the queue of a slowed endpoint, to be sent elsewhere; none ran
   */
  removeWaitingIfSlowed(): QueueTicket[] {
    return this.#speed.isSlowed ? this.queue.removeWaiting() : [];
  }

  /**
   * Sets a lower maximum of concurrent requests, for an instance that runs requests in place of an
   * unreachable owner.
   *
   * @param max - the maximum; that of the operator's configuration still applies
   */
  limitConcurrency(max: number): void {
    this.#limitMax = Math.min(max, this.#concurrencyMax);
    this.#applyLimit();
  }

  /**
   * Admits or refuses a new request; see {@link EndpointQueue.offer}. Here the ticket's `startByMs`
   * is the deadline of the first token: the expected time to the first token is subtracted from it.
   *
   * @param ticket - the request
   * @param nowMs - the owner's clock, in milliseconds
   */
  offer(ticket: QueueTicket, nowMs: number): ReturnType<EndpointQueue['offer']> {
    const startByMs = ticket.startByMs - this.#firstTokenMs;
    return this.queue.offer({ ...ticket, startByMs }, nowMs);
  }

  /**
   * Records the time to the first token, or to the head of an answer without tokens.
   *
   * @param durationMs - time since the request was sent, in milliseconds
   */
  onFirstToken(durationMs: number): void {
    const weight = this.#firstTokenMs === 0 ? 1 : SMOOTHING_WEIGHT;
    this.#firstTokenMs += weight * (durationMs - this.#firstTokenMs);
  }

  /**
   * Removes a request that has ended.
   *
   * @param id - the ticket's id
   * @param durationMs - time since it was sent, in milliseconds; `undefined` when it must not count
   *   in the mean service time, as of a request that was cancelled
   */
  onEnd(id: string, durationMs: number | undefined): void {
    this.queue.remove(id);
    if (durationMs === undefined) return;
    this.#serviceCount += 1;
    const weight = Math.max(SMOOTHING_WEIGHT, 1 / this.#serviceCount);
    this.#serviceMs += weight * (durationMs - this.#serviceMs);
    this.queue.serviceMs = this.#serviceMs;
  }

  /**
   * Updates speed and limit from the measurements of one window.
   *
   * @param streamCount - number of streams that produced tokens
   * @param tokenCount - number of tokens of all streams
   * @param durationMs - length of the window, in milliseconds
   */
  onWindow(streamCount: number, tokenCount: number, durationMs: number): void {
    this.#speed.observe(streamCount, tokenCount, durationMs);
    const tokenMs = streamCount > 0 ? this.#speed.tokenMs : 0;
    // How many requests a slowed endpoint can run says nothing about its normal capacity.
    if (!this.#speed.isSlowed && !this.#speed.isProbing) {
      this.#limit?.observe(tokenMs, this.queue.runningCount, this.queue.waitingCount > 0);
    }
    this.#applyLimit();
  }

  #applyLimit(): void {
    const normalLimit = Math.min(this.#limitMax, this.#limit?.limit ?? this.#concurrencyMax);
    const isProbeOnly = this.#speed.isSlowed || this.#speed.isProbing;
    this.queue.limit = isProbeOnly ? Math.min(normalLimit, PROBE_REQUEST_COUNT) : normalLimit;
  }
}
