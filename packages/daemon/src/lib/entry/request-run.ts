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
import type { Directory } from './directory.js';
import type { OwnerClient } from './owner-client.js';

const FAILURE_COUNT_MAX = 3;
/** An owner that has not taken a request by then is paused or cut off, in milliseconds. */
const ACCEPT_TIMEOUT_MS = 1_000;

/** What a run needs around it. */
interface RequestRunContext {
  readonly directory: Directory;
  readonly routes: RouteTable;
  readonly owners: OwnerClient;
  readonly tracer: HopTracer;
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  readonly nowMs: () => number;
  readonly answerTimeoutMs: number;
  /** @returns whether an endpoint stands in this instance's failure domain */
  readonly isLocal: (endpoint: string) => boolean;
  readonly shareOf: (caller: string) => number;
  readonly retries: RetryBudget;
  /** @returns a random number from 0 up to 1 */
  readonly randomUnit: () => number;
  readonly nextAttempt: () => string;
  readonly onDone: (run: RequestRun) => void;
}

const chart = loadChart('dispatch');

/** One request of a caller at its entry, through all its attempts. */
export class RequestRun {
  readonly #context: RequestRunContext;
  readonly #request: CallerRequest;
  readonly #reply: CallerReply;
  readonly #target: RequestTarget;
  readonly #class: RequestClass;
  readonly #caller: string;
  readonly #span: Span;
  readonly #startedMs: number;
  readonly #deadlineMs: number;
  readonly #tried = new Set<string>();
  readonly #answer: AnswerWriter;
  #state = chart.initial;
  #attemptCount = 0;
  #failureCount = 0;
  #endpoint = '';
  #stream: PeerStream | undefined;
  #acceptTimer: NodeJS.Timeout | undefined;
  #bodyQueue: Buffer[] | undefined;
  #isBodyEnded = false;
  /** Whether any attempt so far may have taken effect. */
  #mayHaveRun = false;

  /** Called when a streamed body may go on. */
  onBodyDrain: () => void = () => {};

  /** Called once with the outcome, before the caller hears it; for the key ledger. */
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
    this.#class = requestClass;
    this.#request = request;
    this.#reply = reply;
    this.#answer = new AnswerWriter(reply, request.carriage);
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

  /** The trace that the request belongs to. */
  get traceId(): string {
    return this.#span.spanContext().traceId;
  }

  /** Header that lets the caller join its own trace. */
  get traceparent(): string {
    return HopTracer.header(this.#span);
  }

  /** Whether the request is over. */
  get isDone(): boolean {
    return chart.isFinal(this.#state);
  }

  /** Starts the first attempt. */
  start(): void {
    if (this.isDone) return;
    this.#follow('ADMIT');
    this.#attempt();
  }

  /**
   * Refuses the request before any attempt.
   *
   * @param error - why
   */
  refuse(error: RefusalError): void {
    if (this.isDone) return;
    this.#finish('REFUSE', error);
  }

  /**
   * Gives the answer of an earlier request under the same key again.
   *
   * @param status - HTTP status of the first answer
   * @param body - its body, if it was short enough to be kept
   */
  replay(status: number, body: string | undefined): void {
    if (this.isDone) return;
    this.#follow('REPLAY');
    this.#span.setAttribute('outcome', Outcome.ran);
    this.#span.end();
    this.#explain('replay', 'the key has run before', { status });
    this.#context.metrics.requests.inc({ outcome: Outcome.ran, code: 'replay' });
    this.#context.onDone(this);
    const headers = { 'chervilseam-replayed': 'true', 'chervilseam-outcome': Outcome.ran };
    const text = body ?? JSON.stringify({ outcome: Outcome.ran, status });
    this.#reply.head(status, { ...headers, 'content-type': 'application/json' });
    this.#reply.write(Buffer.from(text));
    this.#reply.end(Outcome.ran);
  }

  /**
   * Takes a part of a streamed body.
   *
   * @param data - the bytes
   * @returns whether more are welcome at once; otherwise wait for `onBodyDrain`
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

  #follow(event: string): void {
    this.#state = chart.next(this.#state, event);
  }

  #attempt(): void {
    const { directory, routes, isLocal, nowMs } = this.#context;
    const names = directory.candidates(this.#target);
    const fresh = names.filter((name) => !this.#tried.has(name));
    const candidates = (fresh.length > 0 ? fresh : names).map((endpoint) => ({
      endpoint,
      isLocal: isLocal(endpoint),
    }));
    const chosen = routes.choose(candidates, nowMs());
    const leftMs = this.#deadlineMs - nowMs();
    if (!chosen || leftMs <= 0) {
      const code = chosen ? 'deadline' : 'no_endpoint';
      const message = chosen ? 'the deadline has passed' : 'no endpoint has what is asked for';
      this.#giveUp({ code, outcome: Outcome.notRun, message });
      return;
    }
    this.#attemptCount += 1;
    this.#tried.add(chosen.endpoint);
    this.#endpoint = chosen.endpoint;
    this.#explain('route', `chose ${chosen.endpoint} of ${candidates.length}`, {
      candidates: candidates.map(({ endpoint }) => endpoint),
    });
    this.#send(leftMs);
  }

  #send(leftMs: number): void {
    const { method, path, headers, body } = this.#request;
    const attempt = this.#context.nextAttempt();
    const params = {
      endpoint: this.#endpoint,
      attempt,
      caller: this.#caller,
      share: this.#context.shareOf(this.#caller),
      priority: this.#class.priority,
      startInMs: leftMs,
      headTimeoutMs: this.#context.answerTimeoutMs,
      method,
      path,
      headers,
      body: this.#attemptBody(body),
      isBodyStreamed: body === undefined,
      traceparent: HopTracer.header(this.#span),
      isFallback: false,
    };
    this.#follow('SEND');
    const number = this.#attemptCount;
    this.#context.owners.open(params).then(
      (stream) => this.#opened(stream, number),
      (error: Error) => {
        const { message } = error;
        this.#failed({ code: 'peer_lost', outcome: Outcome.notRun, message });
      },
    );
  }

  // A stream that broke goes on after the tokens that the caller has.
  #attemptBody(body: Buffer | undefined): Buffer | undefined {
    const { tokenCount } = this.#answer;
    if (!body || tokenCount === 0) return body;
    const value = JSON.parse(body.toString()) as Record<string, unknown>;
    return Buffer.from(JSON.stringify({ ...value, resume_after_tokens: tokenCount }));
  }

  #opened(stream: PeerStream, number: number): void {
    if (this.isDone) {
      stream.fail({ code: 'cancelled' });
      return;
    }
    this.#stream = stream;
    // Only the attempt in force may speak: an earlier one's answer is late and dropped.
    const isCurrent = (): boolean => !this.isDone && number === this.#attemptCount;
    const guard =
      <T>(take: (value: T) => void) =>
      (value: T): void => {
        if (isCurrent()) take(value);
        else this.#context.metrics.dropped.inc();
      };
    // eslint-disable-next-line no-param-reassign -- the opener sets the listener of its stream
    stream.listener = {
      onHead: guard((head: unknown) => {
        if ('advice' in (head as object)) this.#onAdvice(head as DispatchAdvice);
        else this.#onHead(head as DispatchHead);
      }),
      onData: guard((data: Uint8Array) => this.#onData(data)),
      onEnd: guard((end: unknown) => this.#onEnd(end as Partial<DispatchEnd> | null)),
      onFail: (reason) => {
        if (isCurrent()) this.#onFail(reason);
      },
      onDrain: () => this.onBodyDrain(),
    };
    this.#sendBody(stream);
    this.#awaitAcceptance(stream, number);
  }

  // An owner that says nothing is paused or cut off, whatever its connection looks like. A request that
  // may be repeated does not wait for it to wake.
  #awaitAcceptance(stream: PeerStream, number: number): void {
    if (this.#class.isNonIdempotent || this.#request.body === undefined) return;
    this.#acceptTimer = setTimeout(() => {
      if (this.isDone || number !== this.#attemptCount) return;
      stream.fail({ code: 'cancelled', message: 'the owner did not answer' });
      const message = 'the owner did not answer';
      this.#failed({ code: 'peer_lost', outcome: Outcome.unknown, message });
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
    this.#follow('HEAD');
    this.#context.routes.update(this.#endpoint, head.load, this.#context.nowMs());
    this.#context.metrics.observe('first_token', this.#context.nowMs() - this.#startedMs);
    this.#answer.onHead(head);
  }

  // A move breaks before it makes: what the old engine says after the new one was asked to go on
  // would not fit the new one's words.
  #onAdvice({ advice, load }: DispatchAdvice): void {
    const { routes, directory, nowMs } = this.#context;
    routes.update(this.#endpoint, load, nowMs());
    clearTimeout(this.#acceptTimer);
    if (advice === 'accepted') return;
    const isMovable = this.#mayRetry({ code: 'overloaded', outcome: Outcome.unknown, message: '' });
    const others = directory.candidates(this.#target).filter((name) => name !== this.#endpoint);
    const hereMs = this.#costMs(this.#endpoint);
    if (!isMovable || !others.some((name) => this.#costMs(name) < hereMs)) return;
    const from = this.#endpoint;
    this.#stream?.fail({ code: 'cancelled', message: 'moved to another endpoint' });
    this.#context.metrics.attempts.inc({ result: 'moved' });
    this.#explain('move', 'the endpoint is slowed', { from, tokens: this.#answer.tokenCount });
    this.#mayHaveRun = true;
    this.#again();
  }

  #costMs(endpoint: string): number {
    const { routes, isLocal, nowMs } = this.#context;
    return routes.costMs({ endpoint, isLocal: isLocal(endpoint) }, nowMs());
  }

  #again(): void {
    this.#forgetAttempt();
    this.#attempt();
  }

  #forgetAttempt(): void {
    clearTimeout(this.#acceptTimer);
    this.#follow('RETRY');
    this.#stream = undefined;
    this.#answer.reset();
  }

  // Another endpoint is tried at once; one that failed before is given time.
  #retry(): void {
    this.#forgetAttempt();
    const names = this.#context.directory.candidates(this.#target);
    const hasFresh = names.some((name) => !this.#tried.has(name));
    const unit = this.#context.randomUnit();
    const delayMs = hasFresh ? 0 : RetryBudget.backoffMs(this.#failureCount, unit);
    if (delayMs === 0) {
      this.#attempt();
      return;
    }
    setTimeout(() => {
      if (!this.isDone) this.#attempt();
    }, delayMs);
  }

  #onData(data: Uint8Array): void {
    const result = this.#answer.onData(data);
    if (result === 'pause') this.#stream?.pause();
    if (result !== 'unusable') return;
    this.#stream?.fail({ code: 'cancelled' });
    const message = 'the answer is too large';
    this.#giveUp({ code: 'endpoint_failed', outcome: Outcome.unknown, message });
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
    // A peer that was lost may have handed the request on: only its own word proves "not run".
    const known = Object.values(Outcome).includes(outcome) ? outcome : Outcome.unknown;
    const isKnownCode = known !== Outcome.unknown || code !== undefined;
    this.#failed({
      code: isKnownCode && known === outcome ? code : 'peer_lost',
      outcome: known,
      message: message ?? 'the dispatch failed',
      retryAfterMs,
    });
  }

  #failed(failure: DispatchFailure): void {
    if (this.isDone) return;
    this.#context.metrics.attempts.inc({ result: failure.code });
    this.#explain('attempt-failed', failure.message, { ...failure, endpoint: this.#endpoint });
    this.#mayHaveRun ||= failure.outcome !== Outcome.notRun;
    if (this.#mayRetry(failure) && this.#isInBudget(failure)) {
      this.#failureCount += 1;
      this.#retry();
      return;
    }
    this.#giveUp(failure);
  }

  // A later attempt's "not run" says nothing of an earlier one that may have run.
  #giveUp({ code, outcome, message, retryAfterMs }: DispatchFailure): void {
    const isProven = outcome === Outcome.notRun && !this.#mayHaveRun;
    const joined = isProven ? Outcome.notRun : Outcome.unknown;
    const error = new RefusalError({ code, outcome: joined, retryAfterMs }, message);
    this.#finish(isProven ? 'REFUSE' : 'LOSE', error);
  }

  #mayRetry({ outcome }: DispatchFailure): boolean {
    if (this.#failureCount >= FAILURE_COUNT_MAX) return false;
    if (this.#request.body === undefined) return false;
    if (!this.#answer.isResumable) return false;
    return outcome === Outcome.notRun || !this.#class.isNonIdempotent;
  }

  // What was refused without running cost next to nothing; what failed counts against the budget.
  #isInBudget({ outcome }: DispatchFailure): boolean {
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
    // A refusal after bytes were handed on never happens: the chart has no such transition.
    this.#follow(event);
    const outcome = error?.outcome ?? Outcome.ran;
    const code = error?.code ?? 'ok';
    this.#context.metrics.requests.inc({ outcome, code });
    this.#context.metrics.observe('request', this.#context.nowMs() - this.#startedMs);
    this.#span.setAttribute('outcome', outcome);
    if (error) HopTracer.fail(this.#span, error.message);
    this.#span.end();
    if (error) this.#explain('refused', error.message, { code, outcome });
    this.#context.onDone(this);
    if (error) this.#answerError(error);
    else this.#answerWhole();
  }

  #answerError(error: RefusalError): void {
    this.onOutcome(error.outcome, error.status, undefined);
    if (this.#answer.isHeadSent) this.#reply.cut();
    else this.#reply.refuse(error);
  }

  #answerWhole(): void {
    this.onOutcome(Outcome.ran, this.#answer.status, this.#answer.captured);
    this.#answer.end();
  }

  #explain(decision: string, reason: string, inputs: Readonly<Record<string, unknown>>): void {
    const atMs = this.#context.nowMs();
    this.#context.decisions.add({ atMs, trace: this.traceId, decision, reason, inputs });
  }
}
