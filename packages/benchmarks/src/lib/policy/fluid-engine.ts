import type { SimRequest } from './sim-request.js';
import type { VirtualClock } from './virtual-clock.js';

/** Maximum time between tokens, in milliseconds. */
const TOKEN_TARGET_MS = 37;
/** `startProgress` of a stream that was cancelled. */
const CANCELLED_PROGRESS = -1;

interface EngineShape {
  readonly index: number;
  /** Index of its failure domain. */
  readonly domain: number;
  /** Time between tokens while a single stream decodes, in milliseconds. */
  readonly baseTokenMs: number;
  /** Growth of the time between tokens for each further stream, as a fraction of `baseTokenMs`. */
  readonly slowdownPerStream: number;
  /** Speed of prefill (reading a prompt). */
  readonly promptTokensPerMs: number;
  /** Maximum number of streams that decode at once; limited by the engine's memory. */
  readonly streamCountMax: number;
}

interface Stream {
  readonly request: SimRequest;
  /** Number of tokens to prefill; after a move, also those that other engines produced. */
  readonly promptTokens: number;
  /** Number of tokens that this engine has to produce. */
  readonly tokens: number;
  readonly onFirstToken: () => void;
  readonly onDone: () => void;
  /** `over`: completed or cancelled. */
  state: 'waiting' | 'prefill' | 'decode' | 'over';
  /** Value of the engine's `#progress` when its decode started. */
  startProgress: number;
  /** Value of the engine's `#slowProgress` when its decode started. */
  startSlowProgress: number;
}

/**
 * A fluid model of an engine: all decoding streams of the batch produce tokens at the same continuous
 * rate, which falls as the batch grows. It schedules one event for each change of the batch instead
 * of one for each token, so minutes of load are simulated in seconds.
 */
export class FluidEngine {
  readonly shape: EngineShape;
  /** Number of tokens produced by all streams until the last update. */
  totalTokens = 0;
  /**
   * Number of running and waiting streams after each arrival and each end of a decode; the oldest
   * entries are dropped.
   */
  readonly history: { readonly atMs: number; readonly count: number }[] = [];
  /** Number of running and waiting requests, by model. */
  readonly activeByModel = new Map<number, number>();
  readonly #clock: VirtualClock;
  #slowFactor = 1;
  #waiting: Stream[] = [];
  #prefill: Stream | undefined;
  readonly #decoding = new Set<Stream>();
  /** Number of tokens that a stream would have produced had it decoded since the start. */
  #progress = 0;
  /** The part of `#progress` during which the time between tokens was above the target. */
  #slowProgress = 0;
  /** When `#progress` was last updated. */
  #updatedMs = 0;
  /** Number of schedulings; an event of an older one is ignored. */
  #scheduleVersion = 0;

  constructor(clock: VirtualClock, shape: EngineShape) {
    this.#clock = clock;
    this.shape = shape;
  }

  /** Number of streams that decode. */
  get decodingCount(): number {
    return this.#decoding.size;
  }

  /** Number of running and waiting streams. */
  get streamCount(): number {
    return this.#decoding.size + this.#waiting.length + (this.#prefill ? 1 : 0);
  }

  /**
   * Time to prefill all prompts that have not been read yet, in milliseconds; the one being read counts
   * in full.
   */
  get prefillBacklogMs(): number {
    const streams = [...this.#waiting, ...(this.#prefill ? [this.#prefill] : [])];
    return streams.reduce((sum, stream) => sum + this.prefillMs(stream.promptTokens), 0);
  }

  /** Factor by which prefill and decode take longer; 1 is the normal speed. */
  get slowFactor(): number {
    return this.#slowFactor;
  }

  set slowFactor(factor: number) {
    this.#advance();
    this.#slowFactor = factor;
    this.#schedule();
  }

  /** @returns time to prefill a prompt, in milliseconds */
  prefillMs(promptTokens: number): number {
    return (promptTokens / this.shape.promptTokensPerMs) * this.#slowFactor;
  }

  /** @returns time between tokens while that many streams decode, in milliseconds */
  tokenMs(streamCount: number): number {
    const { baseTokenMs, slowdownPerStream } = this.shape;
    return baseTokenMs * (1 + slowdownPerStream * Math.max(0, streamCount - 1)) * this.#slowFactor;
  }

  /** Maximum number of streams that meet the token target together at normal speed. */
  get streamCountAtTarget(): number {
    const { baseTokenMs, slowdownPerStream, streamCountMax } = this.shape;
    const count = Math.floor((TOKEN_TARGET_MS / baseTokenMs - 1) / slowdownPerStream) + 1;
    return Math.max(1, Math.min(streamCountMax, count));
  }

  /**
   * Adds a request to the engine's queue.
   *
   * @param request - the request
   * @param tokensDone - number of tokens that other engines produced before
   * @param onFirstToken - called when its first token here is due, also if it was cancelled after its
   *   decode started
   * @param onDone - called when its last token is produced
   * @returns a function that cancels it and returns the number of tokens it produced here
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
      startSlowProgress: 0,
    };
    Object.assign(request, { engine: this.shape.index });
    this.#waiting.push(stream);
    this.#addActive(request.model, 1);
    this.#recordStreamCount();
    this.#startPrefill();
    return () => this.#cancel(stream);
  }

  // Adds to the number of active requests of a model.
  #addActive(model: number, change: number): void {
    this.activeByModel.set(model, (this.activeByModel.get(model) ?? 0) + change);
  }

  #recordStreamCount(): void {
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
      startSlowProgress: this.#slowProgress,
    });
    this.#decoding.add(stream);
    this.#schedule();
    this.#clock.after(this.tokenMs(this.#decoding.size), () => {
      if (stream.state === 'decode' || stream.state === 'over') stream.onFirstToken();
    });
  }

  // Updates progress and total to the current time, at the rate since the last update.
  #advance(): void {
    const elapsedMs = this.#clock.nowMs - this.#updatedMs;
    this.#updatedMs = this.#clock.nowMs;
    if (this.#decoding.size === 0 || elapsedMs === 0) return;
    const tokenMs = this.tokenMs(this.#decoding.size);
    const produced = elapsedMs / tokenMs;
    this.#progress += produced;
    this.totalTokens += produced * this.#decoding.size;
    if (tokenMs > TOKEN_TARGET_MS) this.#slowProgress += produced;
  }

  // Schedules the end of the stream that will complete first at the current rate.
  #schedule(): void {
    this.#scheduleVersion += 1;
    const version = this.#scheduleVersion;
    let firstEnd = Infinity;
    this.#decoding.forEach(({ startProgress, tokens }) => {
      firstEnd = Math.min(firstEnd, startProgress + tokens);
    });
    if (firstEnd === Infinity) return;
    const delayMs = Math.max(0, firstEnd - this.#progress) * this.tokenMs(this.#decoding.size);
    this.#clock.after(delayMs, () => {
      if (version === this.#scheduleVersion) this.#finishCompleted();
    });
  }

  /**
   * Updates {@link totalTokens} to the current time.
   *
   * @returns the new value
   */
  updateTotalTokens(): number {
    this.#advance();
    return this.totalTokens;
  }

  #finishCompleted(): void {
    this.#advance();
    const completed = [...this.#decoding].filter(
      ({ startProgress, tokens }) => startProgress + tokens <= this.#progress + 1e-6,
    );
    completed.forEach((stream) => this.#removeStream(stream));
    this.#schedule();
    this.#startPrefill();
    completed.forEach((stream) => stream.onDone());
  }

  // Removes a stream from the batch and returns the number of tokens that it produced.
  #removeStream(stream: Stream): number {
    if (stream.state !== 'over') this.#addActive(stream.request.model, -1);
    if (!this.#decoding.delete(stream)) return 0;
    Object.assign(stream, { state: 'over' });
    const { request } = stream;
    request.slowTokens += this.#slowProgress - stream.startSlowProgress;
    this.#recordStreamCount();
    return Math.floor(this.#progress - stream.startProgress);
  }

  #cancel(stream: Stream): number {
    this.#advance();
    const produced = this.#removeStream(stream);
    this.#waiting = this.#waiting.filter((other) => other !== stream);
    Object.assign(stream, { state: 'over', startProgress: CANCELLED_PROGRESS });
    this.#schedule();
    this.#startPrefill();
    return produced;
  }
}
