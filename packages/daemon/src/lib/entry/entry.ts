import { canonicalDigest, Outcome, RefusalError } from '@chervilseam/model';
import type { RefusalCode } from '@chervilseam/model';
import { RetryBudget, TokenBucket } from '@chervilseam/decisions';
import type { ConfigView, RequestClass, RequestTarget } from '@chervilseam/decisions';
import type { HttpReply } from '../http/http-reply.js';
import type { AttemptState } from '../keys/attempt-memory.js';
import type { KeyService } from '../keys/key-service.js';
import type { CallerRequest } from './caller-request.js';
import { RequestRun } from './request-run.js';

type OwnFields = 'nextAttempt' | 'onDone' | 'retries';
type RunContext = Omit<ConstructorParameters<typeof RequestRun>[0], OwnFields>;

/** What an entry needs around it. */
interface EntryContext extends RunContext {
  readonly view: () => ConfigView;
  readonly keys: KeyService;
  /** Told of each request for a model, whether it can be served or not. */
  readonly onModelWanted: (model: string) => void;
  /** Unique name of this life of the instance. */
  readonly incarnation: string;
}

/** Answers up to this length are kept to be given again, in bytes. */
const REPLAY_BYTES_MAX = 2_048;

interface KeyRefusal {
  readonly code: RefusalCode;
  readonly outcome: Outcome;
  readonly message: string;
}

const { notRun, unknown } = Outcome;

/** What a caller hears whose claim was not granted; the outcome is that of the key's request. */
const keyRefusals: Readonly<Record<string, KeyRefusal>> = {
  reused: { code: 'key_reused', outcome: notRun, message: 'the key belongs to another request' },
  running: { code: 'key_in_progress', outcome: unknown, message: 'the first request is running' },
  held: { code: 'key_in_progress', outcome: unknown, message: 'the first request is running' },
  unknown: { code: 'key_unknown', outcome: unknown, message: 'the first request may have run' },
  unordered: { code: 'key_unordered', outcome: notRun, message: 'the log cannot order the key' },
  expired: { code: 'key_expired', outcome: notRun, message: 'the key may have been forgotten' },
};

/** Takes callers' requests: limits them, guards keys, and runs them. */
export class Entry {
  readonly #context: EntryContext;
  /** One for all runs: copying it for each request showed in the profile. */
  readonly #runContext: ConstructorParameters<typeof RequestRun>[0];
  readonly #runs = new Set<RequestRun>();
  readonly #retries = new RetryBudget();
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

  /** Requests in progress; a count. */
  get runCount(): number {
    return this.#runs.size;
  }

  /** @returns a new key that this instance alone can run a request under */
  mintKey(): string {
    return this.#context.keys.mint();
  }

  /**
   * Begins a request.
   *
   * @param caller - who asks
   * @param target - what is asked for
   * @param requestClass - how to treat it
   * @param request - the request
   * @param reply - the way back
   * @returns the run
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
    if (target.kind === 'model') this.#context.onModelWanted(target.model);
    this.#retries.earn();
    reply.setHeader('traceparent', run.traceparent);
    const waitMs = this.#takeToken(caller);
    if (waitMs > 0) {
      const options = { code: 'rate_limited', outcome: Outcome.notRun, retryAfterMs: waitMs };
      run.refuse(new RefusalError(options as never, `caller "${caller}" is over its rate`));
      return run;
    }
    if (request.idempotencyKey === undefined) run.start();
    else void this.#startUnderKey(run, caller, request.idempotencyKey, request, reply);
    return run;
  }

  // The request runs only once its claim has been granted. What became of it is remembered here
  // before its caller hears of it, and then goes to the log: a repeat that comes in between finds
  // the key held, and asks this instance.
  async #startUnderKey(
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
    return `${this.#context.incarnation}.${this.#attemptCount}`;
  }

  #takeToken(caller: string): number {
    const perSecond = this.#context.view().callers.get(caller)?.requestsPerSecond ?? 1;
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
