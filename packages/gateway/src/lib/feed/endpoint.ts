import { EndpointHealth, PrefillSpeed, EndpointBackoff } from '@chervilseam/decisions';
import type { EndpointRecord } from '@chervilseam/model';
import { Pool } from 'undici';
import { ConnectionEnding } from './connection-ending.js';
import { resettingConnector } from './resetting-connector.js';
import { wasReset } from './was-reset.js';

/**
 * Longest time until a new connection is open, in milliseconds. Connecting takes one round trip, so an
 * endpoint that exceeds this counts as dead.
 */
const CONNECT_TIMEOUT_MS = 400;
/** Idle time of a kept-alive connection if the endpoint announces none, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 3_000;
/**
 * A kept-alive connection is not reused during this time before the endpoint closes it, in
 * milliseconds.
 */
const KEEP_ALIVE_MARGIN_MS = 600;
/** Time for which an endpoint's answer that it lacks a model or adapter is trusted, in milliseconds. */
const MISSING_TTL_MS = 700;

/**
 * One run (start to exit) of an endpoint's process as this instance knows it: its record, the
 * connections to it, its health and this instance's requests there.
 */
export class Endpoint {
  readonly health = new EndpointHealth();
  readonly prefillSpeed = new PrefillSpeed();
  readonly backoff = new EndpointBackoff();
  readonly pool: Pool;
  /** Number of this instance's requests that are in flight there. */
  inFlightCount = 0;
  /** Prompt tokens of this instance's requests there that have not produced their first event yet. */
  unreadTokenCount = 0;
  /** Tokens of the prompts and longest outputs of this instance's requests in flight there. */
  heldTokenCount = 0;
  #record: EndpointRecord;
  #leftMs: number | undefined;
  #hasAnnouncedLeaving = false;
  #connectionEnding: ConnectionEnding = ConnectionEnding.none;
  readonly #runs = new Map<string, number>();
  readonly #missingUntilMs = new Map<string, number>();

  /** @param record - the endpoint's entry in the list of endpoints */
  constructor(record: EndpointRecord) {
    this.#record = record;
    this.pool = new Pool(`http://${record.host}:${record.port}`, {
      connect: resettingConnector(CONNECT_TIMEOUT_MS, (socket) => {
        socket.prependListener('error', () => this.#noteConnectionEnding(ConnectionEnding.reset));
        socket.prependListener('end', () => {
          const { closed, reset } = ConnectionEnding;
          this.#noteConnectionEnding(wasReset(socket) ? reset : closed);
        });
      }),
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      pipelining: 1,
    });
  }

  /** The endpoint's entry in the list of endpoints. */
  get record(): EndpointRecord {
    return this.#record;
  }

  /** Identity of the endpoint. */
  get id(): string {
    return this.#record.id;
  }

  /** Whether the endpoint is draining or has left: it gets no new requests. */
  get isLeaving(): boolean {
    return this.#record.isDraining || this.#hasAnnouncedLeaving || this.#leftMs !== undefined;
  }

  /** Whether the endpoint itself has announced that it is about to exit, which holds for the whole run. */
  get hasAnnouncedLeaving(): boolean {
    return this.#hasAnnouncedLeaving;
  }

  /** Records that the endpoint has announced that it is about to exit. */
  announceLeaving(): void {
    this.#hasAnnouncedLeaving = true;
  }

  /** @returns whether new requests may be sent to the endpoint now */
  acceptsRequests(nowMs: number): boolean {
    return !this.isLeaving && this.backoff.leftMs(nowMs) === 0;
  }

  /** When the endpoint was found to have left, in milliseconds; `undefined` while it is listed. */
  get leftMs(): number | undefined {
    return this.#leftMs;
  }

  /** @param record - a newer record of the same run of the endpoint's process */
  update(record: EndpointRecord): void {
    // Draining is final: an older record that arrives late must not make the endpoint active again.
    const isDraining = record.isDraining || this.#record.isDraining;
    this.#record = { ...record, isDraining };
    this.#leftMs = undefined;
  }

  /** @param nowMs - when the endpoint was found to have left, in milliseconds */
  leave(nowMs: number): void {
    this.#leftMs ??= nowMs;
  }

  /**
   * Records that the endpoint answered that it lacks an item.
   *
   * @param item - a model as `MODEL`, an adapter as `MODEL/ADAPTER`, or either after `load ` when the
   *   endpoint could not load it
   * @param nowMs - monotonic clock, in milliseconds
   */
  markMissing(item: string, nowMs: number): void {
    this.#missingUntilMs.set(item, nowMs + MISSING_TTL_MS);
  }

  /** @param item - a model or adapter that the endpoint has now, written as for `markMissing` */
  markPresent(item: string): void {
    this.#missingUntilMs.delete(item);
  }

  /** @returns whether the endpoint recently answered that it lacks an item */
  isMissing(item: string, nowMs: number): boolean {
    return nowMs < (this.#missingUntilMs.get(item) ?? 0);
  }

  /** How one of its connections is ending in the current turn of the event loop, if one is. */
  get connectionEnding(): ConnectionEnding {
    return this.#connectionEnding;
  }

  // The HTTP client's own listener of the same event runs after this method, but before the microtask,
  // so that it finds the ending set. Later events find it cleared.
  #noteConnectionEnding(ending: ConnectionEnding): void {
    this.#connectionEnding = ending;
    queueMicrotask(() => {
      this.#connectionEnding = ConnectionEnding.none;
    });
  }

  /**
   * Counts a request of this instance that is sent to the endpoint.
   *
   * @param promptTokenCount - number of tokens of its prompt
   * @param model - its model, if it has one
   */
  requestSent(promptTokenCount: number, model?: string): void {
    if (model !== undefined) this.#runs.set(model, this.runCount(model) + 1);
    this.inFlightCount += 1;
    this.unreadTokenCount += promptTokenCount;
  }

  /**
   * Records that a prompt has been prefilled, or that it will not be.
   *
   * @param promptTokenCount - number of its tokens
   */
  prefillEnded(promptTokenCount: number): void {
    this.unreadTokenCount -= promptTokenCount;
  }

  /** Number of this instance's requests that are in flight there, by model. */
  get runs(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#runs);
  }

  /**
   * @param model - a model
   * @returns number of this instance's requests for it that are in flight there
   */
  runCount(model: string): number {
    return this.#runs.get(model) ?? 0;
  }

  /**
   * Records that a request of this instance no longer runs there.
   *
   * @param model - its model, if it has one
   */
  requestEnded(model?: string): void {
    if (model !== undefined) {
      const left = this.runCount(model) - 1;
      if (left > 0) this.#runs.set(model, left);
      else this.#runs.delete(model);
    }
    this.inFlightCount -= 1;
  }

  /** Closes idle connections at once and the others when their requests end. */
  close(): void {
    void this.pool.close().catch(() => {
      // The pool has been closed already.
    });
  }
}
