import { canonicalDigest, Outcome, RefusalError } from '@chervilseam/model';
import type { RefusalCode } from '@chervilseam/model';
import { RetryBudget, TokenBucket } from '@chervilseam/decisions';
import type { ConfigView, RequestClass, RequestTarget } from '@chervilseam/decisions';
import type { HttpReply } from '../http/http-reply.js';
import type { AttemptState } from '../keys/attempt-table.js';
import type { KeyService } from '../keys/key-service.js';
import type { CallerRequest } from './caller-request.js';
import { RequestRun } from './request-run.js';

/** Fields of a run's dependencies that the entry itself provides. */
type OwnFields = 'nextAttempt' | 'onDone' | 'retries';
type RunContext = Omit<ConstructorParameters<typeof RequestRun>[0], OwnFields>;

/** Dependencies of an entry. */
interface EntryContext extends RunContext {
  /** @returns the configuration in force */
  readonly view: () => ConfigView;
  readonly keys: KeyService;
  /** Called for each request for a model, whether it can be served or not. */
  readonly onModelRequested: (model: string) => void;
  /** Unique id of this run (start to exit) of the instance. */
  readonly bootId: string;
}

/** Longest answer that is stored for replay under its idempotency key, in bytes. */
const REPLAY_BYTES_MAX = 2_048;

interface KeyRefusal {
  readonly code: RefusalCode;
  readonly outcome: Outcome;
  readonly message: string;
}

const { notRun, unknown } = Outcome;

/**
 * Refusals by the verdict on a claim that was not granted. The outcome is `unknown` if the verdict
 * says that an earlier attempt of the same request is running or may have run.
 */
const keyRefusals: Readonly<Record<string, KeyRefusal>> = {
  reused: { code: 'key_reused', outcome: notRun, message: 'the key belongs to another request' },
  running: { code: 'key_in_progress', outcome: unknown, message: 'the first request is running' },
  held: { code: 'key_in_progress', outcome: unknown, message: 'the first request is running' },
  unknown: { code: 'key_unknown', outcome: unknown, message: 'the first request may have run' },
  unordered: { code: 'key_unordered', outcome: notRun, message: 'the log cannot order the key' },
  expired: { code: 'key_expired', outcome: notRun, message: 'the key may have been forgotten' },
};

/**
 * Accepts callers' requests: applies the callers' rate limits, claims idempotency keys, so that a
 * request with a key runs at most once, and runs the requests.
 */
export class Entry {
  readonly #context: EntryContext;
  /** Shared by all runs, since copying it for each request was visible in the CPU profile. */
  readonly #runContext: ConstructorParameters<typeof RequestRun>[0];
  readonly #runs = new Set<RequestRun>();
  /** Shared by all requests of this instance. */
  readonly #retries = new RetryBudget();
  /** Rate limits, by caller and limit. */
  readonly #buckets = new Map<string, TokenBucket>();
  #attemptCount = 0;

  /** @param context - routes, owners, configuration and clock */
  constructor(context: EntryContext) {
    this.#context = context;
    this.#runContext = {
      ...context,
      retries: this.#retries,
      nextAttempt: () => this.#nextAttempt(),
      onDone: (done) => this.#runs.delete(done),
    };
  }

  /** Number of requests in progress. */
  get runCount(): number {
    return this.#runs.size;
  }

  /** @returns a new idempotency key, which this instance alone decides on, without the log */
  mintKey(): string {
    return this.#context.keys.mint();
  }

  /**
   * Starts a request, or refuses it if the caller is over its rate limit.
   *
   * @param caller - name of the caller
   * @param target - the model or service that is requested
   * @param requestClass - how to handle the request
   * @param request - the request
   * @param reply - writes the answer to the caller
   * @returns the run of the request, which takes the rest of a streamed body
   */
  begin(
    caller: string,
    target: RequestTarget,
    requestClass: RequestClass,
    request: CallerRequest,
    reply: HttpReply,
  ): RequestRun {
    const run = new RequestRun(this.#runContext, caller, target, requestClass, request, reply);
    this.#runs.add(run);
    if (target.kind === 'model') this.#context.onModelRequested(target.model);
    this.#retries.earn();
    reply.setHeader('traceparent', run.traceparent);
    const waitMs = this.#takeRateToken(caller);
    if (waitMs > 0) {
      const options = { code: 'rate_limited', outcome: Outcome.notRun, retryAfterMs: waitMs };
      run.refuse(new RefusalError(options as never, `caller "${caller}" is over its rate`));
      return run;
    }
    if (request.idempotencyKey === undefined) run.start();
    else void this.#startWithKey(run, caller, request.idempotencyKey, request, reply);
    return run;
  }

  // The request runs only after its claim has been granted. Its outcome is stored on this instance
  // before the caller gets it, and then appended to the log: a repeated request that arrives in between
  // finds the key held, and this instance is asked for the outcome.
  async #startWithKey(
    run: RequestRun,
    caller: string,
    key: string,
    request: CallerRequest,
    reply: HttpReply,
  ): Promise<void> {
    const { keys } = this.#context;
    const { method, path, body } = request;
    const digest = canonicalDigest([method, path, body?.toString('base64') ?? '']);
    const { verdict, attempt } = await keys.claim(caller, key, digest);
    if (verdict.type === 'replay') {
      run.replay(verdict.status, verdict.body);
      return;
    }
    if (verdict.type !== 'granted') {
      const { code, outcome, message } = keyRefusals[verdict.type];
      run.refuse(new RefusalError({ code, outcome }, message));
      return;
    }
    if (run.isDone) {
      await keys.settle(caller, key, attempt, { type: 'abandoned' });
      return;
    }
    Object.assign(run, {
      onOutcome: (outcome: Outcome, status: number, answer: Buffer | undefined) => {
        const state = Entry.#attemptState(outcome, status, answer);
        void keys.settle(caller, key, attempt, state);
      },
    });
    reply.setHeader('chervilseam-attempt', attempt);
    run.start();
  }

  static #attemptState(outcome: Outcome, status: number, answer: Buffer | undefined): AttemptState {
    if (outcome === Outcome.notRun) return { type: 'abandoned' };
    if (outcome === Outcome.unknown) return { type: 'unknown' };
    const isShort = answer !== undefined && answer.length <= REPLAY_BYTES_MAX;
    return { type: 'ran', status, body: isShort ? answer.toString('utf8') : undefined };
  }

  #nextAttempt(): string {
    this.#attemptCount += 1;
    return `${this.#context.bootId}.${this.#attemptCount}`;
  }

  /** @returns 0 if the caller is within its rate limit; otherwise the time to wait, in milliseconds */
  #takeRateToken(caller: string): number {
    const perSecond = this.#context.view().callers.get(caller)?.requestsPerSecond ?? 1;
    // The limit is part of the key, so that a changed limit gets a new bucket.
    const key = `${caller}@${perSecond}`;
    const nowMs = this.#context.nowMs();
    let bucket = this.#buckets.get(key);
    if (!bucket) {
      bucket = new TokenBucket(perSecond, Math.max(1, perSecond), nowMs);
      this.#buckets.set(key, bucket);
    }
    return bucket.take(nowMs);
  }
}
