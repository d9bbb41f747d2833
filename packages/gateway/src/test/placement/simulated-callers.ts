import { ReturnTimes } from '@chervilseam/decisions';

/** Time that a caller waits for its model before it is refused, in milliseconds. */
const WAIT_MAX_MS = 7_000;
/** Time after which callers give up, in milliseconds. */
const DEADLINE_MS = 20_000;
/** Time by which callers return later than the model is expected, in milliseconds. */
const SPREAD_MS = 1_200;

interface Caller {
  readonly model: string;
  readonly sinceMs: number;
  readonly hasReturned: boolean;
}

/** How the callers of one model fared. */
export interface ModelRecord {
  /** Number of requests, with those of callers who returned. */
  askedCount: number;
  servedCount: number;
  /** Number of callers who were told to return and did, and of those whose model could serve then. */
  returnedCount: number;
  keptCount: number;
  /** Longest time from a request while the model had no replica until it had one, in milliseconds. */
  waitMaxMs: number;
}

/** Times that the callers see, and what they ask. */
interface CallerContext {
  /** Models that can serve. */
  readonly ready: ReadonlySet<string>;
  /** Expected time until a model can serve, in milliseconds. */
  readonly etaMs: (model: string) => number;
}

/**
 * Callers of latency-tolerant models: each waits a while for its model, or is refused and returns once, when it was told
 * to.
 */
export class SimulatedCallers {
  readonly returns = new ReturnTimes();
  readonly records = new Map<string, ModelRecord>();
  #queued: Caller[] = [];
  #returning: (Caller & { readonly atMs: number })[] = [];
  /** Since when each model has been asked for without a replica, in milliseconds. */
  readonly #absentSinceMs = new Map<string, number>();

  /** Models that queued callers wait for. */
  get awaited(): ReadonlySet<string> {
    return new Set(this.#queued.map(({ model }) => model));
  }

  /** A new caller asks for a model. */
  ask(model: string, nowMs: number, context: CallerContext): void {
    this.#arrive({ model, sinceMs: nowMs, hasReturned: false }, nowMs, context);
  }

  /** Serves and refuses queued callers, and has those return who were told to. */
  tick(nowMs: number, context: CallerContext): void {
    const queued = this.#queued;
    this.#queued = [];
    queued.forEach((caller) => this.#handle(caller, nowMs, context));
    const due = this.#returning.filter(({ atMs }) => atMs <= nowMs);
    this.#returning = this.#returning.filter(({ atMs }) => atMs > nowMs);
    due.forEach((caller) => {
      const record = this.recordOf(caller.model);
      record.returnedCount += 1;
      if (context.ready.has(caller.model)) record.keptCount += 1;
      this.#arrive({ ...caller, hasReturned: true, sinceMs: nowMs }, nowMs, context);
    });
    this.returns.expire(nowMs);
    this.#absentSinceMs.forEach((sinceMs, model) => {
      const record = this.recordOf(model);
      record.waitMaxMs = Math.max(record.waitMaxMs, nowMs - sinceMs);
      if (context.ready.has(model)) this.#absentSinceMs.delete(model);
    });
  }

  /** @returns how the callers of a model fared */
  recordOf(model: string): ModelRecord {
    const known = this.records.get(model);
    if (known) return known;
    const record = {
      askedCount: 0,
      servedCount: 0,
      returnedCount: 0,
      keptCount: 0,
      waitMaxMs: 0,
    };
    this.records.set(model, record);
    return record;
  }

  #arrive(caller: Caller, nowMs: number, context: CallerContext): void {
    this.recordOf(caller.model).askedCount += 1;
    if (!context.ready.has(caller.model) && !this.#absentSinceMs.has(caller.model)) {
      this.#absentSinceMs.set(caller.model, nowMs);
    }
    this.#handle(caller, nowMs, context);
  }

  #handle(caller: Caller, nowMs: number, { ready, etaMs }: CallerContext): void {
    const { model, sinceMs, hasReturned } = caller;
    if (ready.has(model)) {
      this.recordOf(model).servedCount += 1;
      return;
    }
    if (nowMs - sinceMs + etaMs(model) < WAIT_MAX_MS) {
      this.#queued.push(caller);
      return;
    }
    const returnMs = nowMs + etaMs(model) + SPREAD_MS;
    const deadlineMs = sinceMs + DEADLINE_MS;
    this.returns.record(model, { returnMs, deadlineMs });
    if (!hasReturned && returnMs < deadlineMs) this.#returning.push({ ...caller, atMs: returnMs });
  }
}
