import { Outcome, RefusalError } from '@chervilseam/model';
import { TokenBucket } from '@chervilseam/decisions';
import type { ConfigView, RequestClass, RequestTarget } from '@chervilseam/decisions';
import type { HttpReply } from '../http/http-reply.js';
import type { CallerRequest } from './caller-request.js';
import { RequestRun } from './request-run.js';

type RunContext = Omit<ConstructorParameters<typeof RequestRun>[0], 'nextAttempt' | 'onDone'>;

/** What an entry needs around it. */
interface EntryContext extends RunContext {
  readonly view: () => ConfigView;
  /** Unique name of this life of the instance. */
  readonly incarnation: string;
}

/** Takes callers' requests: limits them, guards keys, and runs them. */
export class Entry {
  readonly #context: EntryContext;
  readonly #runs = new Set<RequestRun>();
  readonly #buckets = new Map<string, TokenBucket>();
  #attemptCount = 0;
  #keyCount = 0;

  /** @param context - routes, owners, configuration and clock */
  constructor(context: EntryContext) {
    this.#context = context;
  }

  /** Requests in progress; a count. */
  get runCount(): number {
    return this.#runs.size;
  }

  /** @returns a new key that this instance alone can run a request under */
  mintKey(): string {
    this.#keyCount += 1;
    return `minted.${this.#context.incarnation}.${this.#keyCount}`;
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
    const run = new RequestRun(
      {
        ...this.#context,
        nextAttempt: () => this.#nextAttempt(),
        onDone: (done) => this.#runs.delete(done),
      },
      caller,
      target,
      requestClass,
      request,
      reply,
    );
    this.#runs.add(run);
    reply.setHeader('traceparent', run.traceparent);
    const waitMs = this.#takeToken(caller);
    if (waitMs > 0) {
      const options = { code: 'rate_limited', outcome: Outcome.notRun, retryAfterMs: waitMs };
      run.refuse(new RefusalError(options as never, `caller "${caller}" is over its rate`));
      return run;
    }
    run.start();
    return run;
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
