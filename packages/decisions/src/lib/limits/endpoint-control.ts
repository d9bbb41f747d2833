import type { EndpointLoad } from '../routing/endpoint-load.js';
import { ConcurrencyLimit } from './concurrency-limit.js';
import { EndpointQueue } from './endpoint-queue.js';
import { EndpointSpeed } from './endpoint-speed.js';
import type { QueueTicket } from './queue-ticket.js';

const SMOOTHING = 0.1;
/** Requests that may run at a slowed endpoint, to notice when it is well again; a count. */
const PROBE_COUNT = 1;
/**
 * Requests moved away from a slowed endpoint in a window; a count. All at once would fill the other
 * endpoints with prompts to be read again, and those who arrive there would wait for that.
 */
const MOVES_PER_WINDOW = 3;

interface ControlOptions {
  /** The operator's bound on requests side by side; a count. */
  readonly concurrencyMax: number;
  /** Time between tokens to keep, in milliseconds; `undefined` for endpoints without tokens. */
  readonly tokenTargetMs: number | undefined;
}

/** Everything the owner of one endpoint decides about the requests for it. */
export class EndpointControl {
  readonly queue: EndpointQueue;
  readonly #speed = new EndpointSpeed();
  readonly #limit: ConcurrencyLimit | undefined;
  readonly #concurrencyMax: number;
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

  /** The load, as entries are told. */
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

  /** Running requests that should go on elsewhere now; a count. One stays, to notice the end. */
  get moveCount(): number {
    if (!this.#speed.isSlowed) return 0;
    return Math.max(0, Math.min(MOVES_PER_WINDOW, this.queue.runningCount - PROBE_COUNT));
  }

  /** @returns tickets that should wait elsewhere; none of them ran */
  takeRedirected(): QueueTicket[] {
    return this.#speed.isSlowed ? this.queue.takeWaiting() : [];
  }

  /**
   * Bounds the requests side by side for a while, as an instance does that stands in for an owner.
   *
   * @param max - the bound; the operator's holds as well
   */
  bound(max: number): void {
    this.#limitMax = Math.min(max, this.#concurrencyMax);
    this.#applyLimit();
  }

  /**
   * Takes a new request; see {@link EndpointQueue.offer}.
   *
   * @param ticket - the request
   * @param nowMs - the owner's clock, in milliseconds
   */
  offer(ticket: QueueTicket, nowMs: number): ReturnType<EndpointQueue['offer']> {
    const startByMs = ticket.startByMs - this.#firstTokenMs;
    return this.queue.offer({ ...ticket, startByMs }, nowMs);
  }

  /**
   * Learns from the first token, or the head of an answer.
   *
   * @param durationMs - time since the request was sent, in milliseconds
   */
  onFirstToken(durationMs: number): void {
    const weight = this.#firstTokenMs === 0 ? 1 : SMOOTHING;
    this.#firstTokenMs += weight * (durationMs - this.#firstTokenMs);
  }

  /**
   * Ends a request.
   *
   * @param id - the ticket's id
   * @param durationMs - time since it was sent, or `undefined` when its end says nothing of speed
   */
  onEnd(id: string, durationMs: number | undefined): void {
    this.queue.remove(id);
    if (durationMs === undefined) return;
    this.#serviceCount += 1;
    const weight = Math.max(SMOOTHING, 1 / this.#serviceCount);
    this.#serviceMs += weight * (durationMs - this.#serviceMs);
    this.queue.serviceMs = this.#serviceMs;
  }

  /**
   * Learns from a window of time.
   *
   * @param streamCount - streams that were making tokens
   * @param tokenCount - tokens of all of them
   * @param durationMs - length of the window, in milliseconds
   */
  onWindow(streamCount: number, tokenCount: number, durationMs: number): void {
    this.#speed.observe(streamCount, tokenCount, durationMs);
    const tokenMs = streamCount > 0 ? this.#speed.tokenMs : 0;
    // A slowed endpoint says nothing about how many requests it carries when it is well.
    if (!this.#speed.isSlowed && !this.#speed.isProbed) {
      this.#limit?.observe(tokenMs, this.queue.runningCount, this.queue.waitingCount > 0);
    }
    this.#applyLimit();
  }

  #applyLimit(): void {
    const usual = Math.min(this.#limitMax, this.#limit?.limit ?? this.#concurrencyMax);
    const isDoubtful = this.#speed.isSlowed || this.#speed.isProbed;
    this.queue.limit = isDoubtful ? Math.min(usual, PROBE_COUNT) : usual;
  }
}
