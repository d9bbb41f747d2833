import { Outcome, RefusalError } from '@chervilseam/model';
import { loadChart, RetryBudget } from '@chervilseam/decisions';
import type { RequestClass, RequestTarget, RouteTable } from '@chervilseam/decisions';
import type { PeerStream } from '@chervilseam/peer';
import type { Span } from '@opentelemetry/api';
import type { DecisionLog } from '../observe/decision-log.js';
import type { Metrics } from '../observe/metrics.js';
import { HopTracer } from '../observe/tracer.js';
import type { DispatchAdvice } from '../peer/dispatch-advice.js';
import type { DispatchEnd } from '../peer/dispatch-end.js';
import type { DispatchFailure } from '../peer/dispatch-failure.js';
import type { DispatchHead } from '../peer/dispatch-head.js';
import { AnswerWriter } from './answer-writer.js';
import type { CallerReply } from './caller-reply.js';
import type { CallerRequest } from './caller-request.js';
import type { EndpointDirectory } from './endpoint-directory.js';
import type { OwnerClient } from './owner-client.js';

/** Maximum number of retries of a request after failed attempts. */
const RETRY_COUNT_MAX = 3;
/**
 * Time after which an owner that has not acknowledged a request is considered suspended or
 * unreachable, in milliseconds.
 */
const ACCEPT_TIMEOUT_MS = 1_000;

/** Dependencies of a request run. */
interface RequestRunContext {
  readonly directory: EndpointDirectory;
  readonly routes: RouteTable;
  readonly owners: OwnerClient;
  readonly tracer: HopTracer;
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
  /** Maximum wait for the head of an attempt's answer, in milliseconds. */
  readonly answerTimeoutMs: number;
  /** @returns whether the endpoint is in this instance's failure domain */
  readonly isLocal: (endpoint: string) => boolean;
  /** @returns the caller's weight against other callers in the queue of an endpoint */
  readonly weightOf: (caller: string) => number;
  /** Shared by all requests of this instance. */
  readonly retries: RetryBudget;
  /** @returns a random number from 0 (inclusive) to 1 (exclusive) */
  readonly randomUnit: () => number;
  /** @returns a new attempt id, unique across all instances */
  readonly nextAttempt: () => string;
  /** Called once, when the request has ended. */
  readonly onDone: (run: RequestRun) => void;
}

const chart = loadChart('dispatch');

/**
 * A caller's request on the instance that received it, through all its attempts at endpoints. Failed
 * attempts are retried, at another endpoint if there is one; the caller gets one outcome.
 */
export class RequestRun {
  readonly #context: RequestRunContext;
  readonly #request: CallerRequest;
  readonly #reply: CallerReply;
  readonly #target: RequestTarget;
  readonly #requestClass: RequestClass;
  /** Name of the caller. */
  readonly #caller: string;
  readonly #span: Span;
  readonly #startedMs: number;
  /** Time of the monotonic clock after which no attempt is started, in milliseconds. */
  readonly #deadlineMs: number;
  readonly #triedEndpoints = new Set<string>();
  readonly #answer: AnswerWriter;
  #state = chart.initial;
  #attemptCount = 0;
  #failureCount = 0;
  /** Endpoint of the current attempt. */
  #endpoint = '';
  #stream: PeerStream | undefined;
  #acceptTimer: NodeJS.Timeout | undefined;
  /** Parts of a streamed body that arrived before the attempt's stream was open. */
  #bodyQueue: Buffer[] | undefined;
  #isBodyEnded = false;
  /** Whether an earlier attempt may have run, so that the outcome can no longer be `notRun`. */
  #mayHaveRun = false;

  /** Called when more of a streamed body can be written. */
  onBodyDrain: () => void = () => {};

  /**
   * Called once with the outcome, before the reply to the caller ends, so that the outcome is recorded
   * under the request's idempotency key first.
   */
  onOutcome: (outcome: Outcome, status: number, body: Buffer | undefined) => void = () => {};

  constructor(
    context: RequestRunContext,
    caller: string,
    target: RequestTarget,
    requestClass: RequestClass,
    request: CallerRequest,
    reply: CallerReply,
  ) {
    this.#context = context;
    this.#caller = caller;
    this.#target = target;
    this.#requestClass = requestClass;
    this.#request = request;
    this.#reply = reply;
    this.#answer = new AnswerWriter(reply, request.deliveryMode);
    this.#startedMs = context.nowMs();
    const deadlineMs = Math.min(requestClass.deadlineMs, request.deadlineMs ?? Infinity);
    this.#deadlineMs = this.#startedMs + deadlineMs;
    this.#span = context.tracer.start('entry', request.traceparent);
    this.#bodyQueue = request.body === undefined ? [] : undefined;
    Object.assign(this.#reply, {
      onClose: () => this.#cancel(),
      onDrain: () => this.#stream?.resume(),
    });
  }

  /** Id of the trace that the request belongs to. */
  get traceId(): string {
    return this.#span.spanContext().traceId;
  }

  /** Value of the `traceparent` header of the reply. */
  get traceparent(): string {
    return HopTracer.traceparentOf(this.#span);
  }

  /** Whether the request has ended. */
  get isDone(): boolean {
    return chart.isFinal(this.#state);
  }

  /** Starts the first attempt. */
  start(): void {
    if (this.isDone) return;
    this.#transition('ADMIT');
    this.#startAttempt();
  }

  /**
   * Refuses the request before any attempt.
   *
   * @param error - the reason, which is sent to the caller
   */
  refuse(error: RefusalError): void {
    if (this.isDone) return;
    this.#finish('REFUSE', error);
  }

  /**
   * Replies with the stored answer of an earlier request with the same idempotency key.
   *
   * @param status - HTTP status of the stored answer
   * @param body - its body, or `undefined` if it was too long to be stored
   */
  replay(status: number, body: string | undefined): void {
    if (this.isDone) return;
    this.#transition('REPLAY');
    this.#span.setAttribute('outcome', Outcome.ran);
    this.#span.end();
    this.#recordDecision('replay', 'the key has run before', { status });
    this.#context.metrics.requests.inc({ outcome: Outcome.ran, code: 'replay' });
    this.#context.onDone(this);
    const headers = { 'chervilseam-replayed': 'true', 'chervilseam-outcome': Outcome.ran };
    const text = body ?? JSON.stringify({ outcome: Outcome.ran, status });
    this.#reply.head(status, { ...headers, 'content-type': 'application/json' });
    this.#reply.write(Buffer.from(text));
    this.#reply.end(Outcome.ran);
  }

  /**
   * Sends a part of a streamed body to the owner, or queues it until the stream is open.
   *
   * @param data - the bytes
   * @returns whether to write more at once; otherwise wait for `onBodyDrain`
   */
  writeBody(data: Buffer): boolean {
    if (this.#bodyQueue) {
      this.#bodyQueue.push(data);
      return false;
    }
    return this.#stream?.write(data) ?? true;
  }

  /** Ends a streamed body. */
  endBody(): void {
    this.#isBodyEnded = true;
    if (!this.#bodyQueue) this.#stream?.end();
  }

  #transition(event: string): void {
    this.#state = chart.next(this.#state, event);
  }

  #startAttempt(): void {
    const { directory, routes, isLocal, nowMs } = this.#context;
    const endpoints = directory.candidates(this.#target);
    const untried = endpoints.filter((name) => !this.#triedEndpoints.has(name));
    const candidates = (untried.length > 0 ? untried : endpoints).map((endpoint) => ({
      endpoint,
      isLocal: isLocal(endpoint),
    }));
    const chosen = routes.choose(candidates, nowMs());
    const remainingMs = this.#deadlineMs - nowMs();
    if (!chosen || remainingMs <= 0) {
      const code = chosen ? 'deadline' : 'no_endpoint';
      const message = chosen ? 'the deadline has passed' : 'no endpoint has what is asked for';
      this.#endWithFailure({ code, outcome: Outcome.notRun, message });
      return;
    }
    this.#attemptCount += 1;
    this.#triedEndpoints.add(chosen.endpoint);
    this.#endpoint = chosen.endpoint;
    this.#recordDecision('route', `chose ${chosen.endpoint} of ${candidates.length}`, {
      candidates: candidates.map(({ endpoint }) => endpoint),
    });
    this.#sendAttempt(remainingMs);
  }

  #sendAttempt(remainingMs: number): void {
    const { method, path, headers, body } = this.#request;
    const attempt = this.#context.nextAttempt();
    const params = {
      endpoint: this.#endpoint,
      attempt,
      caller: this.#caller,
      share: this.#context.weightOf(this.#caller),
      priority: this.#requestClass.priority,
      startInMs: remainingMs,
      headTimeoutMs: this.#context.answerTimeoutMs,
      method,
      path,
      headers,
      body: this.#attemptBody(body),
      isBodyStreamed: body === undefined,
      traceparent: HopTracer.traceparentOf(this.#span),
      isFallback: false,
    };
    this.#transition('SEND');
    const attemptNumber = this.#attemptCount;
    this.#context.owners.open(params).then(
      (stream) => this.#onOpened(stream, attemptNumber),
      (error: Error) => {
        const { message } = error;
        this.#onAttemptFailed({ code: 'peer_lost', outcome: Outcome.notRun, message });
      },
    );
  }

  // A retry of a stream that broke off resumes after the tokens that were sent to the caller.
  #attemptBody(body: Buffer | undefined): Buffer | undefined {
    const { tokenCount } = this.#answer;
    if (!body || tokenCount === 0) return body;
    const value = JSON.parse(body.toString()) as Record<string, unknown>;
    return Buffer.from(JSON.stringify({ ...value, resume_after_tokens: tokenCount }));
  }

  #onOpened(stream: PeerStream, attemptNumber: number): void {
    if (this.isDone) {
      stream.fail({ code: 'cancelled' });
      return;
    }
    this.#stream = stream;
    // Only the current attempt contributes to the answer; what arrives from earlier ones is dropped.
    const isCurrent = (): boolean => !this.isDone && attemptNumber === this.#attemptCount;
    const ifCurrent =
      <T>(handle: (value: T) => void) =>
      (value: T): void => {
        if (isCurrent()) handle(value);
        else this.#context.metrics.droppedAnswers.inc();
      };
    // eslint-disable-next-line no-param-reassign -- the opener sets the listener of its stream
    stream.listener = {
      onHead: ifCurrent((head: unknown) => {
        if ('advice' in (head as object)) this.#onAdvice(head as DispatchAdvice);
        else this.#onHead(head as DispatchHead);
      }),
      onData: ifCurrent((data: Uint8Array) => this.#onData(data)),
      onEnd: ifCurrent((end: unknown) => this.#onEnd(end as Partial<DispatchEnd> | null)),
      onFail: (reason) => {
        if (isCurrent()) this.#onFail(reason);
      },
      onDrain: () => this.onBodyDrain(),
    };
    this.#sendBody(stream);
    this.#startAcceptTimer(stream, attemptNumber);
  }

  // An owner that does not acknowledge the request is suspended or unreachable, even if its connection
  // is open. A request that may be repeated is retried instead of waiting for that owner.
  #startAcceptTimer(stream: PeerStream, attemptNumber: number): void {
    if (this.#requestClass.isNonIdempotent || this.#request.body === undefined) return;
    this.#acceptTimer = setTimeout(() => {
      if (this.isDone || attemptNumber !== this.#attemptCount) return;
      stream.fail({ code: 'cancelled', message: 'the owner did not answer' });
      const message = 'the owner did not answer';
      this.#onAttemptFailed({ code: 'peer_lost', outcome: Outcome.unknown, message });
    }, ACCEPT_TIMEOUT_MS);
  }

  #sendBody(stream: PeerStream): void {
    const queued = this.#bodyQueue ?? [];
    this.#bodyQueue = undefined;
    queued.forEach((data) => stream.write(data));
    if (this.#request.body !== undefined || this.#isBodyEnded) stream.end();
    else this.onBodyDrain();
  }

  #onHead(head: DispatchHead): void {
    clearTimeout(this.#acceptTimer);
    this.#transition('HEAD');
    this.#context.routes.update(this.#endpoint, head.load, this.#context.nowMs());
    this.#context.metrics.observe('first_token', this.#context.nowMs() - this.#startedMs);
    this.#answer.onHead(head);
  }

  // The owner advises a move when its endpoint is slowed. The old attempt is cancelled before the new
  // one starts: the new engine resumes after the tokens sent so far, so tokens that the old engine sent
  // later would not fit its output.
  #onAdvice({ advice, load }: DispatchAdvice): void {
    const { routes, directory, nowMs } = this.#context;
    routes.update(this.#endpoint, load, nowMs());
    clearTimeout(this.#acceptTimer);
    if (advice === 'accepted') return;
    const isMovable = this.#mayRetry({ code: 'overloaded', outcome: Outcome.unknown, message: '' });
    const others = directory.candidates(this.#target).filter((name) => name !== this.#endpoint);
    const currentCostMs = this.#costMs(this.#endpoint);
    if (!isMovable || !others.some((name) => this.#costMs(name) < currentCostMs)) return;
    const from = this.#endpoint;
    this.#stream?.fail({ code: 'cancelled', message: 'moved to another endpoint' });
    this.#context.metrics.attempts.inc({ result: 'moved' });
    this.#recordDecision('move', 'the endpoint is slowed', {
      from,
      tokens: this.#answer.tokenCount,
    });
    this.#mayHaveRun = true;
    this.#retryNow();
  }

  #costMs(endpoint: string): number {
    const { routes, isLocal, nowMs } = this.#context;
    return routes.costMs({ endpoint, isLocal: isLocal(endpoint) }, nowMs());
  }

  #retryNow(): void {
    this.#resetAttempt();
    this.#startAttempt();
  }

  #resetAttempt(): void {
    clearTimeout(this.#acceptTimer);
    this.#transition('RETRY');
    this.#stream = undefined;
    this.#answer.reset();
  }

  // Retries at once if there is an endpoint that was not tried yet; otherwise after a backoff.
  #retryWithBackoff(): void {
    this.#resetAttempt();
    const endpoints = this.#context.directory.candidates(this.#target);
    const hasUntried = endpoints.some((name) => !this.#triedEndpoints.has(name));
    const unit = this.#context.randomUnit();
    const delayMs = hasUntried ? 0 : RetryBudget.backoffMs(this.#failureCount, unit);
    if (delayMs === 0) {
      this.#startAttempt();
      return;
    }
    setTimeout(() => {
      if (!this.isDone) this.#startAttempt();
    }, delayMs);
  }

  #onData(data: Uint8Array): void {
    const result = this.#answer.onData(data);
    if (result === 'pause') this.#stream?.pause();
    if (result !== 'unusable') return;
    this.#stream?.fail({ code: 'cancelled' });
    const message = 'the answer is too large';
    this.#endWithFailure({ code: 'endpoint_failed', outcome: Outcome.unknown, message });
  }

  #onEnd(end: Partial<DispatchEnd> | null): void {
    if (end?.load) this.#context.routes.update(this.#endpoint, end.load, this.#context.nowMs());
    if (!this.#answer.isWhole) {
      this.#onFail({ code: 'answer_cut', outcome: Outcome.unknown, message: 'no end marker' });
      return;
    }
    this.#finish('END', undefined);
  }

  #onFail(reason: unknown): void {
    const { code, outcome, message, load, retryAfterMs } = (reason ?? {}) as DispatchFailure;
    if (load) this.#context.routes.update(this.#endpoint, load, this.#context.nowMs());
    // A peer whose connection failed may have passed the request on: only an outcome that the peer
    // itself reported proves that the request did not run.
    const reported = Object.values(Outcome).includes(outcome) ? outcome : Outcome.unknown;
    const isKnownCode = reported !== Outcome.unknown || code !== undefined;
    this.#onAttemptFailed({
      code: isKnownCode && reported === outcome ? code : 'peer_lost',
      outcome: reported,
      message: message ?? 'the dispatch failed',
      retryAfterMs,
    });
  }

  #onAttemptFailed(failure: DispatchFailure): void {
    if (this.isDone) return;
    this.#context.metrics.attempts.inc({ result: failure.code });
    this.#recordDecision('attempt-failed', failure.message, {
      ...failure,
      endpoint: this.#endpoint,
    });
    this.#mayHaveRun ||= failure.outcome !== Outcome.notRun;
    if (this.#mayRetry(failure) && this.#spendRetry(failure)) {
      this.#failureCount += 1;
      this.#retryWithBackoff();
      return;
    }
    this.#endWithFailure(failure);
  }

  // The request is `notRun` only if all its attempts are: an earlier attempt may have run even though
  // the last one did not.
  #endWithFailure({ code, outcome, message, retryAfterMs }: DispatchFailure): void {
    const isProvenNotRun = outcome === Outcome.notRun && !this.#mayHaveRun;
    const overall = isProvenNotRun ? Outcome.notRun : Outcome.unknown;
    const error = new RefusalError({ code, outcome: overall, retryAfterMs }, message);
    this.#finish(isProvenNotRun ? 'REFUSE' : 'LOSE', error);
  }

  #mayRetry({ outcome }: DispatchFailure): boolean {
    if (this.#failureCount >= RETRY_COUNT_MAX) return false;
    if (this.#request.body === undefined) return false;
    if (!this.#answer.isResumable) return false;
    return outcome === Outcome.notRun || !this.#requestClass.isNonIdempotent;
  }

  // An attempt that did not run cost hardly anything, so its retry is not deducted from the budget.
  #spendRetry({ outcome }: DispatchFailure): boolean {
    return outcome === Outcome.notRun || this.#context.retries.spend();
  }

  #cancel(): void {
    if (this.isDone) return;
    this.#stream?.fail({ code: 'cancelled', message: 'the caller closed its connection' });
    const isSent = this.#state === 'sent' || this.#state === 'streaming';
    const outcome = isSent || this.#mayHaveRun ? Outcome.unknown : Outcome.notRun;
    this.#finish('CANCEL', new RefusalError({ code: 'cancelled', outcome }, 'cancelled'));
  }

  #finish(event: string, error: RefusalError | undefined): void {
    clearTimeout(this.#acceptTimer);
    // The chart has no REFUSE transition from `streaming`: a refusal never follows an answer that has
    // begun.
    this.#transition(event);
    const outcome = error?.outcome ?? Outcome.ran;
    const code = error?.code ?? 'ok';
    this.#context.metrics.requests.inc({ outcome, code });
    this.#context.metrics.observe('request', this.#context.nowMs() - this.#startedMs);
    this.#span.setAttribute('outcome', outcome);
    if (error) HopTracer.markFailed(this.#span, error.message);
    this.#span.end();
    if (error) this.#recordDecision('refused', error.message, { code, outcome });
    this.#context.onDone(this);
    if (error) this.#replyWithError(error);
    else this.#completeReply();
  }

  #replyWithError(error: RefusalError): void {
    this.onOutcome(error.outcome, error.status, undefined);
    if (this.#answer.isHeadSent) this.#reply.abort();
    else this.#reply.refuse(error);
  }

  #completeReply(): void {
    this.onOutcome(Outcome.ran, this.#answer.status, this.#answer.captured);
    this.#answer.end();
  }

  #recordDecision(
    decision: string,
    reason: string,
    inputs: Readonly<Record<string, unknown>>,
  ): void {
    const atMs = this.#context.nowMs();
    this.#context.decisions.add({ atMs, trace: this.traceId, decision, reason, inputs });
  }
}
