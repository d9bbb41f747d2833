import type { SimRequest } from './sim-request.js';
import type { VirtualClock } from './virtual-clock.js';

const TOKEN_TARGET_MS = 37;
const NEVER = -1;

interface EngineShape {
  readonly index: number;
  readonly domain: number;
  /** Time between tokens of a lone stream, in milliseconds. */
  readonly loneTokenMs: number;
  /** Growth of that time with each further stream, as a share. */
  readonly crowding: number;
  /** Prompt tokens read in a millisecond. */
  readonly promptTokensPerMs: number;
  /** Streams that fit the memory. */
  readonly streamCountMax: number;
}

interface Stream {
  readonly request: SimRequest;
  readonly promptTokens: number;
  readonly tokens: number;
  readonly onFirstToken: () => void;
  readonly onDone: () => void;
  state: 'waiting' | 'prefill' | 'decode' | 'over';
  startProgress: number;
  startSlow: number;
}

/**
 * An engine as a fluid: all streams of the batch make tokens at one rate, which falls as the batch
 * grows. One event a change in place of one a token, so that minutes of load take seconds.
 */
export class FluidEngine {
  readonly shape: EngineShape;
  /** Tokens made by all streams so far. */
  totalTokens = 0;
  /** What the engine reports, late: streams that run or wait. */
  readonly history: { readonly atMs: number; readonly count: number }[] = [];
  /** Requests that run or wait, by model. */
  readonly activeByModel = new Map<number, number>();
  readonly #clock: VirtualClock;
  #slowFactor = 1;
  #waiting: Stream[] = [];
  #prefill: Stream | undefined;
  readonly #decoding = new Set<Stream>();
  #progress = 0;
  #slowProgress = 0;
  #updatedMs = 0;
  #version = 0;

  constructor(clock: VirtualClock, shape: EngineShape) {
    this.#clock = clock;
    this.shape = shape;
  }

  /** Streams that make tokens; a count. */
  get decodingCount(): number {
    return this.#decoding.size;
  }

  /** Streams that run or wait; a count. */
  get streamCount(): number {
    return this.#decoding.size + this.#waiting.length + (this.#prefill ? 1 : 0);
  }

  /** Time to read all prompts that wait, in milliseconds. */
  get prefillBacklogMs(): number {
    const streams = [...this.#waiting, ...(this.#prefill ? [this.#prefill] : [])];
    return streams.reduce((sum, stream) => sum + this.prefillMs(stream.promptTokens), 0);
  }

  get slowFactor(): number {
    return this.#slowFactor;
  }

  set slowFactor(factor: number) {
    this.#advance();
    this.#slowFactor = factor;
    this.#schedule();
  }

  /** @returns time to read a prompt, in milliseconds */
  prefillMs(promptTokens: number): number {
    return (promptTokens / this.shape.promptTokensPerMs) * this.#slowFactor;
  }

  /** @returns time between tokens with that many streams, in milliseconds */
  tokenMs(streamCount: number): number {
    const { loneTokenMs, crowding } = this.shape;
    return loneTokenMs * (1 + crowding * Math.max(0, streamCount - 1)) * this.#slowFactor;
  }

  /** Streams that keep the target side by side when the engine is well; a count. */
  get streamCountAtTarget(): number {
    const { loneTokenMs, crowding, streamCountMax } = this.shape;
    const count = Math.floor((TOKEN_TARGET_MS / loneTokenMs - 1) / crowding) + 1;
    return Math.max(1, Math.min(streamCountMax, count));
  }

  /**
   * Starts a request.
   *
   * @returns a way to take it away, which returns the tokens that it made
   */
  start(
    request: SimRequest,
    tokensDone: number,
    onFirstToken: () => void,
    onDone: () => void,
  ): () => number {
    const stream: Stream = {
      request,
      promptTokens: request.promptTokens + tokensDone,
      tokens: request.tokens - tokensDone,
      onFirstToken,
      onDone,
      state: 'waiting',
      startProgress: 0,
      startSlow: 0,
    };
    Object.assign(request, { engine: this.shape.index });
    this.#waiting.push(stream);
    this.#count(request.model, 1);
    this.#note();
    this.#startPrefill();
    return () => this.#cancel(stream);
  }

  #count(model: number, change: number): void {
    this.activeByModel.set(model, (this.activeByModel.get(model) ?? 0) + change);
  }

  #note(): void {
    this.history.push({ atMs: this.#clock.nowMs, count: this.streamCount });
    if (this.history.length > 4_000) this.history.splice(0, 2_000);
  }

  #startPrefill(): void {
    if (this.#prefill || this.#waiting.length === 0) return;
    if (this.#decoding.size >= this.shape.streamCountMax) return;
    const stream = this.#waiting.shift() as Stream;
    this.#prefill = stream;
    Object.assign(stream, { state: 'prefill' });
    this.#clock.after(this.prefillMs(stream.promptTokens), () => this.#endPrefill(stream));
  }

  #endPrefill(stream: Stream): void {
    this.#prefill = undefined;
    if (stream.state === 'prefill') this.#startDecode(stream);
    this.#startPrefill();
  }

  #startDecode(stream: Stream): void {
    this.#advance();
    Object.assign(stream, {
      state: 'decode',
      startProgress: this.#progress,
      startSlow: this.#slowProgress,
    });
    this.#decoding.add(stream);
    this.#schedule();
    this.#clock.after(this.tokenMs(this.#decoding.size), () => {
      if (stream.state === 'decode' || stream.state === 'over') stream.onFirstToken();
    });
  }

  #advance(): void {
    const elapsedMs = this.#clock.nowMs - this.#updatedMs;
    this.#updatedMs = this.#clock.nowMs;
    if (this.#decoding.size === 0 || elapsedMs === 0) return;
    const tokenMs = this.tokenMs(this.#decoding.size);
    const made = elapsedMs / tokenMs;
    this.#progress += made;
    this.totalTokens += made * this.#decoding.size;
    if (tokenMs > TOKEN_TARGET_MS) this.#slowProgress += made;
  }

  #schedule(): void {
    this.#version += 1;
    const version = this.#version;
    let least = Infinity;
    this.#decoding.forEach(({ startProgress, tokens }) => {
      least = Math.min(least, startProgress + tokens);
    });
    if (least === Infinity) return;
    const delayMs = Math.max(0, least - this.#progress) * this.tokenMs(this.#decoding.size);
    this.#clock.after(delayMs, () => {
      if (version === this.#version) this.#finishDue();
    });
  }

  /** Brings the count of tokens up to now. */
  sample(): number {
    this.#advance();
    return this.totalTokens;
  }

  #finishDue(): void {
    this.#advance();
    const due = [...this.#decoding].filter(
      ({ startProgress, tokens }) => startProgress + tokens <= this.#progress + 1e-6,
    );
    due.forEach((stream) => this.#leave(stream));
    this.#schedule();
    this.#startPrefill();
    due.forEach((stream) => stream.onDone());
  }

  #leave(stream: Stream): number {
    if (stream.state !== 'over') this.#count(stream.request.model, -1);
    if (!this.#decoding.delete(stream)) return 0;
    Object.assign(stream, { state: 'over' });
    const { request } = stream;
    request.slowTokens += this.#slowProgress - stream.startSlow;
    this.#note();
    return Math.floor(this.#progress - stream.startProgress);
  }

  #cancel(stream: Stream): number {
    this.#advance();
    const made = this.#leave(stream);
    this.#waiting = this.#waiting.filter((other) => other !== stream);
    Object.assign(stream, { state: 'over', startProgress: NEVER });
    this.#schedule();
    this.#startPrefill();
    return made;
  }
}
