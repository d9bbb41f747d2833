import { EventSplitter } from '@chervilseam/decisions';
import type { CallerExchange } from '../ingress/caller-exchange.js';
import type { AnswerHead } from '../ports/answer-head.js';

/** What became of a part of a stream. */
interface RelayResult {
  /** Whether more may follow at once. */
  readonly isWelcome: boolean;
  /** Pause since the part before, in milliseconds; left out for the first. */
  readonly gapMs?: number;
}

/** A stream on its way to a caller, through all attempts that go on with it. */
export class StreamRelay {
  readonly #exchange: CallerExchange;
  readonly #nowMs: () => number;
  #splitter = new EventSplitter();
  #isOpen = false;
  #lastEvent: number | undefined;
  #firstMs: number | undefined;
  #lastMs = 0;
  #gapMaxMs = 0;

  /**
   * @param exchange - way to the caller
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  constructor(exchange: CallerExchange, nowMs: () => number) {
    this.#exchange = exchange;
    this.#nowMs = nowMs;
  }

  /** Whether the caller has the head of an answer: from now on it can only go on or be cut. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Number of the last event that the caller has. */
  get lastEvent(): number | undefined {
    return this.#lastEvent;
  }

  /** Whether the attempt has ended in the middle of an event. */
  get isWithinEvent(): boolean {
    return this.#splitter.pendingBytes > 0;
  }

  /** @param answer - head of an attempt's answer; the caller gets that of the first attempt */
  open(answer: AnswerHead): void {
    if (!this.#isOpen) this.#exchange.head(answer.status, answer.headers);
    this.#isOpen = true;
    this.#splitter = new EventSplitter();
  }

  /**
   * Passes on the events that are whole.
   *
   * @param chunk - bytes of the attempt
   * @returns what became of them
   */
  push(chunk: Buffer): RelayResult {
    const gapMs = this.#time();
    let isWelcome = true;
    this.#splitter.push(chunk).forEach(({ number, data }) => {
      // An event that the caller has already may come again when a stream goes on.
      if (number !== undefined && number <= (this.#lastEvent ?? -1)) return;
      if (number !== undefined) this.#lastEvent = number;
      isWelcome = this.#exchange.write(data);
    });
    return { isWelcome, gapMs };
  }

  /** @returns what the caller saw: the time to the first part, and the longest pause */
  timing(): Readonly<Record<string, number>> {
    if (this.#firstMs === undefined) return {};
    return {
      firstAfterMs: Math.round(this.#firstMs - this.#exchange.receivedMs),
      gapMaxMs: Math.round(this.#gapMaxMs),
    };
  }

  #time(): number | undefined {
    const nowMs = this.#nowMs();
    const gapMs = this.#firstMs === undefined ? undefined : nowMs - this.#lastMs;
    this.#firstMs ??= nowMs;
    this.#lastMs = nowMs;
    this.#gapMaxMs = Math.max(this.#gapMaxMs, gapMs ?? 0);
    return gapMs;
  }
}
