import { EndpointHealth, ReadSpeed } from '@chervilseam/decisions';
import type { EndpointRecord } from '@chervilseam/model';
import { buildConnector, Pool } from 'undici';
import { ConnectionEnding } from './connection-ending.js';

/** A new connection takes a round trip; one that takes this long is to a dead instance, in milliseconds. */
const CONNECT_TIMEOUT_MS = 400;
/** Idle time of a kept connection when the endpoint does not name one, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 3_000;
/** A kept connection is left this long before the endpoint closes it, in milliseconds. */
const KEEP_ALIVE_MARGIN_MS = 600;
/** Answers for tokens that an endpoint said it lacks are believed this long, in milliseconds. */
const LACK_MEMORY_MS = 700;

/** One incarnation of an endpoint, as this instance knows it. */
export class Endpoint {
  readonly health = new EndpointHealth();
  readonly readSpeed = new ReadSpeed();
  readonly pool: Pool;
  /** Requests of this instance that are under way there; a count. */
  ownCount = 0;
  /** Prompt tokens of this instance's requests that have not got their first event yet. */
  unreadTokenCount = 0;
  #record: EndpointRecord;
  #leftMs: number | undefined;
  #ending: ConnectionEnding = ConnectionEnding.none;
  readonly #lacks = new Map<string, number>();

  /** @param record - what the endpoint says of itself */
  constructor(record: EndpointRecord) {
    this.#record = record;
    const connector = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    this.pool = new Pool(`http://${record.host}:${record.port}`, {
      connect: (options, callback) =>
        connector(options, (...result) => {
          result[1]?.prependListener('error', () => this.#noteEnding(ConnectionEnding.reset));
          result[1]?.prependListener('end', () => this.#noteEnding(ConnectionEnding.closed));
          callback(...result);
        }),
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      pipelining: 1,
    });
  }

  /** What the endpoint says of itself. */
  get record(): EndpointRecord {
    return this.#record;
  }

  /** Identity of the endpoint. */
  get id(): string {
    return this.#record.id;
  }

  /** Whether the endpoint is leaving: it gets no new work. */
  get isLeaving(): boolean {
    return this.#record.isDraining || this.#leftMs !== undefined;
  }

  /** When the endpoint was found to have left, in milliseconds. */
  get leftMs(): number | undefined {
    return this.#leftMs;
  }

  /** @param record - a newer record of the same incarnation */
  update(record: EndpointRecord): void {
    // Leaving is for good: an older record that arrives late must not bring the endpoint back.
    const isDraining = record.isDraining || this.#record.isDraining;
    this.#record = { ...record, isDraining };
    this.#leftMs = undefined;
  }

  /** @param nowMs - when the endpoint was found to have left, in milliseconds */
  leave(nowMs: number): void {
    this.#leftMs ??= nowMs;
  }

  /**
   * @param item - a model, or a model and an adapter
   * @param nowMs - when the endpoint denied having it, in milliseconds
   */
  denied(item: string, nowMs: number): void {
    this.#lacks.set(item, nowMs + LACK_MEMORY_MS);
  }

  /** @param item - a model, or a model and an adapter, that the endpoint has now */
  gained(item: string): void {
    this.#lacks.delete(item);
  }

  /** @returns whether the endpoint denied having something a short time ago */
  lacks(item: string, nowMs: number): boolean {
    return nowMs < (this.#lacks.get(item) ?? 0);
  }

  /** What is happening to one of its connections in this very turn of the loop. */
  get ending(): ConnectionEnding {
    return this.#ending;
  }

  // Listeners of one event run in one go, so this is over before anything else is heard.
  #noteEnding(ending: ConnectionEnding): void {
    this.#ending = ending;
    queueMicrotask(() => {
      this.#ending = ConnectionEnding.none;
    });
  }

  /**
   * Notes that a request of this instance went there.
   *
   * @param promptTokenCount - tokens of its prompt
   */
  began(promptTokenCount: number): void {
    this.ownCount += 1;
    this.unreadTokenCount += promptTokenCount;
  }

  /**
   * Notes that a prompt has been read, or will not be.
   *
   * @param promptTokenCount - its tokens
   */
  wasRead(promptTokenCount: number): void {
    this.unreadTokenCount -= promptTokenCount;
  }

  /** Notes that a request of this instance is over there. */
  ended(): void {
    this.ownCount -= 1;
  }

  /** Closes idle connections now and the others when their requests end. */
  close(): void {
    void this.pool.close().catch(() => {
      // Closing twice is harmless.
    });
  }
}
