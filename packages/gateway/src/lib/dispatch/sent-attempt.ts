import { BlockBuffer, EventEndFinder } from '@chervilseam/model';
import type { Endpoint } from '../feed/endpoint.js';
import type { AnswerHead } from '../ports/answer-head.js';
import type { EndpointAttempt } from './endpoint-attempt.js';

/** How a request was sent to an endpoint. */
interface Sending {
  readonly endpoint: Endpoint;
  readonly sentMs: number;
  /** Time that the endpoint was given for its answer, in milliseconds. */
  readonly givenMs: number;
  readonly promptTokenCount: number;
  /** Tokens of its prompt and of its longest output. */
  readonly heldTokenCount: number;
  readonly model?: string;
  /** Prompt tokens that the endpoint prefills before the first event. */
  readonly readTokenCount: number;
  /** Whether the request was sent although it was suspected to end engines. */
  readonly isTest: boolean;
}

/** A request as it was sent to one endpoint, and what has come of it there. */
export class SentAttempt {
  readonly sending: Sending;
  #exchange!: EndpointAttempt;
  #answer: AnswerHead | undefined;
  #eventCount = 0;
  readonly #buffered = new BlockBuffer();
  readonly #bufferedEnds = new EventEndFinder();
  #hasEvent = false;
  #isReleased = false;
  #isPrefilling: boolean;

  /** @param sending - how the request was sent */
  constructor(sending: Sending) {
    this.sending = sending;
    this.#isPrefilling = sending.readTokenCount > 0;
    sending.endpoint.requestSent(sending.promptTokenCount, sending.model);
    this.endpoint.heldTokenCount += sending.heldTokenCount;
  }

  get endpoint(): Endpoint {
    return this.sending.endpoint;
  }

  /** The exchange with the endpoint. */
  get exchange(): EndpointAttempt {
    return this.#exchange;
  }

  /** Head of the answer; `undefined` until it has arrived. */
  get answer(): AnswerHead | undefined {
    return this.#answer;
  }

  /** Number of complete events of its stream that were relayed. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** What was kept of the answer's body. */
  get body(): Buffer {
    return this.#buffered.join();
  }

  /** Length of what was kept of the answer's body, in bytes. */
  get bufferedBytes(): number {
    return this.#buffered.length;
  }

  /** Memory that what was kept of the answer's body takes, in bytes. */
  get heldBytes(): number {
    return this.#buffered.heldBytes;
  }

  /** Whether what was kept of a stream contains a complete event. */
  get hasEvent(): boolean {
    return this.#hasEvent;
  }

  /** @param exchange - the exchange with the endpoint, before it begins */
  attach(exchange: EndpointAttempt): void {
    this.#exchange = exchange;
  }

  /** @param answer - head of the answer */
  receiveHead(answer: AnswerHead): void {
    this.#answer = answer;
  }

  /** @param count - number of further complete events that were relayed */
  countEvents(count: number): void {
    this.#eventCount += count;
  }

  /**
   * Keeps a part of the body of an answer that is not relayed, or not yet.
   *
   * @param chunk - the bytes
   * @returns length of what was kept so far, in bytes
   */
  buffer(chunk: Buffer): number {
    this.#buffered.append(chunk);
    this.#hasEvent ||= this.#bufferedEnds.push(chunk).length > 0;
    return this.#buffered.length;
  }

  /** @returns what was kept; it is not kept any longer */
  takeBuffered(): Buffer {
    return this.#buffered.take();
  }

  /** Records that the first data of a stream arrived: the endpoint has finished the prefill of the prompt. */
  recordPrefill(nowMs: number): void {
    if (!this.#isPrefilling) return;
    const { endpoint, readTokenCount, sentMs } = this.sending;
    endpoint.prefillSpeed.record(readTokenCount, nowMs - sentMs);
    this.#endPrefill();
  }

  /**
   * Records that the request no longer occupies the endpoint.
   *
   * @returns whether this is the first call
   */
  release(): boolean {
    if (this.#isReleased) return false;
    this.#isReleased = true;
    if (this.#isPrefilling) this.#endPrefill();
    this.endpoint.requestEnded(this.sending.model);
    this.endpoint.heldTokenCount -= this.sending.heldTokenCount;
    return true;
  }

  #endPrefill(): void {
    this.#isPrefilling = false;
    this.endpoint.prefillEnded(this.sending.promptTokenCount);
  }
}
