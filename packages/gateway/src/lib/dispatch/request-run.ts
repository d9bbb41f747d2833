import {
  callerReturnMs,
  endsBefore,
  placeEtaMs,
  PrefillSpeed,
  requestWork,
  waitLimitMs,
} from '@chervilseam/decisions';
import type { HeldMemory, Waiter, WaitingRequest, WaitQueue } from '@chervilseam/decisions';
import type { RouteSpec, ServiceSpec } from '@chervilseam/model';
import type { CallerExchange } from '../ingress/caller-exchange.js';
import { MemoryKind } from '../ingress/memory-kind.js';
import type { Endpoint } from '../feed/endpoint.js';
import type { AnswerHead } from '../ports/answer-head.js';
import type { CallerHead } from '../ports/caller-head.js';
import { AttemptEnder } from './attempt-ender.js';
import type { AttemptFailure } from './attempt-failure.js';
import { EndpointAttempt } from './endpoint-attempt.js';
import { PickReason } from './pick-reason.js';
import type { OpenRun } from './open-run.js';
import { priorityOf } from './priority-of.js';
import type { PickRequirements } from './pick-requirements.js';
import type { PickResult } from './pick-result.js';
import type { RunContext } from './run-context.js';
import type { RunTarget } from './run-target.js';
import { SentAttempt } from './sent-attempt.js';
import { SilenceWatch } from './silence-watch.js';
import { StreamRelay } from './stream-relay.js';
import { suspectPartsOf } from './suspect-parts.js';

/** Shortest time before the deadline in which an answer is possible, in milliseconds. */
const REMAINING_MIN_MS = 15;
/** Largest answer that is buffered because it is not relayed as a stream, in bytes. */
const BUFFERED_BYTES_MAX = 256 * 1024;
/** Largest event of a stream that is buffered until it is complete, in bytes. */
const EVENT_BYTES_MAX = 256 * 1024;
/** Number of sends after which a request fails if the last endpoint did not run it. */
const SEND_COUNT_MAX = 5;
/** Time to wait for the head of an answer, as a multiple of the route's objective. */
const HEAD_TIMEOUT_OBJECTIVES = 2.5;
/** Shortest time to wait for the head of an answer, in milliseconds. */
const HEAD_TIMEOUT_MIN_MS = 250;
/**
 * A stream without data for this long is resumed at another endpoint if the request is safe to retry,
 * in milliseconds.
 */
const STALL_TIMEOUT_MS = 1_200;
/**
 * Longest time from the head of a second attempt's answer to its first complete event before it takes over without
 * one, in milliseconds: two endpoints must not work on a request together for long.
 */
const TAKEOVER_MAX_MS = 250;
/** Number of events after which an answer has got past its beginning. */
const BEGINNING_EVENT_COUNT = 3;
/** Number of engines that are asked in turn to load an adapter before the request is queued. */
const ADAPTER_LOAD_ATTEMPTS = 3;
/** Longest delay that a timer of Node.js can have, in milliseconds; a longer one would run at once. */
const TIMER_MAX_MS = 2 ** 31 - 1;
/** Shortest time that a stream is left unread before its endpoint may cut it off for that, in milliseconds. */
const UNREAD_MS = 1_000;
/** Time by which an endpoint may be early or late in ending a request at its deadline, in milliseconds. */
const DEADLINE_SLACK_MS = 60;
const OK_MAX = 299;
const SERVER_ERROR = 500;

/** What a request waits for, by the reason why no endpoint can take it now. */
const waitKindOf = {
  [PickReason.full]: 'slot',
  [PickReason.prefill]: 'prefill',
  [PickReason.memory]: 'slot',
  [PickReason.tried]: 'model',
  [PickReason.model]: 'model',
  [PickReason.adapter]: 'model',
  [PickReason.backoff]: 'slot',
} as const;

/** Expected speed of an engine that the request has not been sent to. */
const EXPECTED_SPEED = new PrefillSpeed();

type SendPick = Extract<PickResult, { kind: 'send' }>;
type WaitPick = Extract<PickResult, { kind: 'wait' }>;

// An attempt that this instance gave up after it was sent.
const givenUp = (reason: string): AttemptFailure => ({
  wasSent: true,
  isBroken: false,
  isRefused: false,
  reason,
});

// An attempt whose answer ended too soon.
const brokenOff = (reason: string): AttemptFailure => ({ ...givenUp(reason), isBroken: true });

// A success status without the endpoint's signature may come from another server at its address.
const isSuccess = ({ status, isSigned }: AnswerHead): boolean => isSigned && status <= OK_MAX;

/**
 * Handles one caller's request from its arrival to its end, over all attempts at endpoints. While an attempt is
 * silent, a second one may be started elsewhere; the first is cancelled only once the second one answers.
 */
export class RequestRun implements OpenRun {
  readonly #context: RunContext;
  readonly #exchange: CallerExchange;
  readonly #route: RouteSpec;
  readonly #service: ServiceSpec;
  readonly #target: RunTarget;
  readonly #head: CallerHead;
  readonly #body: Buffer;
  /** Ids of what the request holds and what may end an engine. */
  readonly #parts: readonly string[];
  readonly #deadlineMs: number;
  readonly #relay: StreamRelay;
  /** Identities of the endpoints that the request was sent to and is not sent to again. */
  readonly #tried = new Set<string>();
  readonly #deadlineTimer: NodeJS.Timeout;
  #waiter: Waiter | undefined;
  /** The attempt whose answer is relayed. */
  #current: SentAttempt | undefined;
  /** An attempt that takes over when it answers, started since the current one is silent. */
  #successor: SentAttempt | undefined;
  /** Runs from the head of the successor's answer on. */
  #takeOverTimer: NodeJS.Timeout | undefined;
  /** The last attempt that was sent, for the log. */
  #last: SentAttempt | undefined;
  readonly #silence: SilenceWatch;
  /** Buffered bytes of answers, counted against the memory budget. */
  readonly #held: HeldMemory;
  /** Whether an answer to this request has got past its beginning: it does not end engines. */
  #isProven = false;
  #hasResetTried = false;
  #waitReason: PickReason = PickReason.full;
  /** Time until the model, or another replica of it, is ready as of the last pick, in milliseconds. */
  #modelEtaMs: number | undefined;
  /** Time until a slot becomes free for the request as of the last pick, in milliseconds. */
  #slotEtaMs: number | undefined;
  /** Number of attempts that the endpoint ran or may have run. */
  #runCount = 0;
  /** Number of times that the request was sent. */
  #sendCount = 0;
  /** Whether an endpoint received the request, or may have: the next one receives a retry. */
  #hasArrived = false;
  /** Whether an endpoint ran or may have run the request: it can no longer be refused as not run. */
  #mayHaveRun = false;
  #isOver = false;
  /** Whether the endpoint's stream is left unread until the caller reads on. */
  #isCallerBehind = false;
  /** When that began, in milliseconds. */
  #behindSinceMs = 0;
  /** Whether the endpoint may have cut off the stream since it was left unread. */
  #wasLeftUnread = false;
  /** Whether an endpoint was at work on the request when this instance cut the answer, for the log. */
  #wasAtWork = false;
  /** Whether all that had arrived before the current decision has been read. */
  #hasPolled = false;
  /** Whether the request came on a connection that may have waited to be accepted, and was not dispatched yet. */
  #isNew: boolean;

  constructor(
    context: RunContext,
    exchange: CallerExchange,
    target: RunTarget,
    head: CallerHead,
    body: Buffer,
  ) {
    this.#context = context;
    this.#exchange = exchange;
    this.#route = target.route;
    this.#service = target.service;
    this.#target = target;
    this.#head = head;
    this.#body = body;
    this.#isNew = exchange.isFirst;
    this.#parts = suspectPartsOf(head, exchange.method, exchange.path, body);
    this.#relay = new StreamRelay(exchange, context.nowMs);
    this.#silence = new SilenceWatch(context.eventLoop, () => this.#onSilent());
    this.#held = context.memory.hold(MemoryKind.answer, () => this.#dropBuffered());
    const waitMs = Math.min(head.waitMs ?? Infinity, target.route.timeoutMs);
    // The caller's time began when it sent the request, which may have waited to be read.
    this.#deadlineMs = exchange.receivedMs - exchange.readLagMs + waitMs;
    const leftMs = Math.min(TIMER_MAX_MS, Math.max(0, this.#deadlineMs - context.nowMs()));
    this.#deadlineTimer = setTimeout(() => this.#onDeadline(), leftMs);
    Object.assign(exchange, {
      onGone: () => this.#onCallerGone(),
      onDrain: () => this.#onCallerReady(),
    });
  }

  /** Sends the request to an endpoint, queues it or refuses it. */
  start(): void {
    this.#context.openRuns.add(this);
    this.#context.onReceived(this.#head, this.#target);
    this.#context.priorityMix(this.#service.name).record(this.#priority, this.#context.nowMs());
    this.#context.retryBudget(this.#service.name).earn(this.#context.nowMs());
    this.#dispatch();
  }

  /**
   * Gives the caller a true answer while there is still time to send one: 503 if the request has not run and
   * never will, 502 if an endpoint may have run it. An answer that has begun is cut.
   */
  endForShutdown(): void {
    if (this.#isOver) return;
    this.#wasAtWork = this.#cancelAttempts();
    this.#mayHaveRun ||= this.#wasAtWork;
    this.#failForShutdown('the instance stops');
  }

  get #priority(): number {
    return priorityOf(this.#target);
  }

  get #isSafeToRetry(): boolean {
    return this.#route.isIdempotent && (!this.#relay.isOpen || this.#route.isResumable);
  }

  // What decides the request's place among those that wait.
  get #place(): WaitingRequest {
    const { promptTokenCount } = this.#head;
    const { engine, name } = this.#service;
    const workMs = engine
      ? EXPECTED_SPEED.prefillMs(requestWork(this.#head, engine.slotCount))
      : (this.#context.holdTime(name).meanMs ?? 0);
    return {
      priority: this.#priority,
      group: `${this.#target.access?.workspace?.name ?? ''} ${this.#route.name}`,
      dueMs: this.#exchange.receivedMs - this.#exchange.readLagMs + this.#route.objectiveMs,
      startMs: EXPECTED_SPEED.prefillMs(promptTokenCount),
      workMs,
    };
  }

  get #lane(): string {
    return `${this.#head.model ?? ''}/${this.#head.adapter ?? ''}`;
  }

  get #queue(): WaitQueue {
    return this.#context.queue(this.#service.name);
  }

  get #slotShare(): number {
    const { priorityMix, nowMs } = this.#context;
    const request = { priority: this.#priority, hasPartialAnswer: this.#relay.isOpen };
    return priorityMix(this.#service.name).slotShare(request, nowMs());
  }

  #dispatch(): void {
    if (this.#isOver) return;
    // A place that others wait for may be free by now.
    const aheadCount = this.#queue.dispatchAhead(this.#place, this.#lane, this.#context.nowMs());
    if (this.#tryDispatch(aheadCount)) return;
    this.#enqueue();
  }

  /**
   * @param aheadCount - number of requests that go before it when it has to wait for a place
   * @returns false when the request has to wait in the queue; true when it was sent, has ended, waits
   *   for an adapter to be loaded, or is dispatched after the next poll of the sockets
   */
  #tryDispatch(aheadCount: number): boolean {
    if (this.#isOver || this.#deferIfOutdated() || this.#failIfUnservable()) return true;
    const pick = this.#pick();
    const handlers: Record<PickResult['kind'], () => boolean> = {
      send: () => {
        this.#sendOrFail(pick as SendPick);
        return true;
      },
      prepare: () => {
        void this.#loadAdapter((pick as Extract<PickResult, { kind: 'prepare' }>).endpoints);
        return true;
      },
      wait: () => {
        const { reason, etaMs, nextReplicaMs, placeCount } = pick as WaitPick;
        this.#slotEtaMs = this.#placeEtaMs(aheadCount, placeCount);
        if (reason === PickReason.tried && !this.#resetTriedOnce()) return this.#fail(reason);
        // Refuses a request at once if it could only be served after its longest wait.
        if (etaMs >= this.#waitMaxMs(reason)) return this.#fail(reason, nextReplicaMs ?? etaMs);
        this.#waitReason = reason;
        this.#modelEtaMs = nextReplicaMs ?? etaMs;
        return false;
      },
      refuse: () => {
        const { reason, retryAfterMs } = pick as Extract<PickResult, { kind: 'refuse' }>;
        return this.#fail(reason, retryAfterMs);
      },
    };
    return handlers[pick.kind]();
  }

  // The caller may have left, and its close may not have been read yet: after a stall of the event loop, and
  // while connections wait to be accepted, since libuv accepts only one in each turn of the event loop.
  #deferIfOutdated(): boolean {
    const { eventLoop } = this.#context;
    if (this.#hasPolled || !(this.#isNew || eventLoop.isStalled)) return false;
    this.#isNew = false;
    eventLoop.afterPoll(() => {
      this.#hasPolled = true;
      this.#dispatch();
      this.#hasPolled = false;
    });
    return true;
  }

  // Fails a request that must not be sent to any endpoint: one that might not end before this process does, or
  // one like those under which engines end.
  #failIfUnservable(): boolean {
    const { crashGuard } = this.#context;
    if (!this.#endsBeforeExit()) {
      return this.#failForShutdown('the instance stops before the request may end');
    }
    const withheld = crashGuard.withheld(this.#parts);
    if (!withheld) return false;
    return this.#fail('engines ended under requests like this', withheld.trialInMs);
  }

  // A retry is sent whatever it takes, since its caller can't be told to go elsewhere.
  #endsBeforeExit(): boolean {
    const { endMs, nowMs, answerTimes } = this.#context;
    const { isIdempotent, name } = this.#route;
    const leftMs = endMs() - nowMs();
    const isRepeat = this.#relay.isOpen || this.#mayHaveRun;
    const remainingMs = this.#deadlineMs - nowMs();
    if (leftMs === Infinity || (isIdempotent && isRepeat)) return true;
    const expectedMs = answerTimes(name).estimateMs(this.#head.outputTokenCountMax);
    return endsBefore({ isIdempotent, remainingMs, expectedMs }, leftMs);
  }

  #pick(): PickResult {
    return this.#context.picker.pick(this.#requirements);
  }

  get #requirements(): PickRequirements {
    return {
      service: this.#service,
      model: this.#head.model,
      adapter: this.#head.adapter,
      paceMaxMs: this.#route.paceMaxMs,
      promptTokenCount: this.#head.promptTokenCount,
      outputTokenCountMax: this.#head.outputTokenCountMax,
      objectiveMs: this.#route.objectiveMs,
      isSuspect: this.#context.crashGuard.isSuspect(this.#parts),
      slotShare: this.#slotShare,
      tried: this.#tried,
    };
  }

  #placeEtaMs(aheadCount: number, placeCount = 0): number | undefined {
    const holdMs = this.#context.holdTime(this.#service.name).meanMs;
    return placeEtaMs({ aheadCount, placeCount, holdMs });
  }

  // Allows a request that is safe to retry to use the endpoints that it has tried once more: one of
  // them may be the only one with the model.
  #resetTriedOnce(): boolean {
    if (this.#hasResetTried || !this.#isSafeToRetry) return false;
    this.#hasResetTried = true;
    this.#tried.clear();
    return true;
  }

  #waitMaxMs(reason: PickReason): number {
    const nowMs = this.#context.nowMs();
    return waitLimitMs({
      waitsFor: waitKindOf[reason],
      hasPartialAnswer: this.#relay.isOpen,
      elapsedMs: nowMs - this.#exchange.receivedMs,
      remainingMs: this.#deadlineMs - nowMs,
      objectiveMs: this.#route.objectiveMs,
      callerPatienceMs: this.#route.callerPatienceMs,
      isQueued: this.#waiter !== undefined,
      slotEtaMs: this.#slotEtaMs,
      startMs: this.#place.startMs,
    });
  }

  #enqueue(): void {
    const { nowMs, onWaited } = this.#context;
    const sinceMs = nowMs();
    const waiter: Waiter = {
      ...this.#place,
      lane: this.#lane,
      sinceMs,
      model: this.#waitReason === PickReason.model ? this.#head.model : undefined,
      untilMs: sinceMs + this.#waitMaxMs(this.#waitReason),
      tryDispatch: (aheadCount) => {
        const isDispatched = this.#tryDispatch(aheadCount);
        if (!isDispatched) return false;
        // The attempt may have failed already and queued the request anew.
        if (this.#waiter === waiter) this.#waiter = undefined;
        onWaited(nowMs() - sinceMs);
        return true;
      },
      onDropped: () => {
        this.#waiter = undefined;
        onWaited(nowMs() - sinceMs);
        this.#fail(`waited in vain: ${this.#waitReason}`, this.#modelEtaMs);
      },
    };
    this.#waiter = waiter;
    this.#queue.add(waiter);
  }

  async #loadAdapter(endpoints: readonly Endpoint[]): Promise<void> {
    const { picker, loadAdapter, nowMs, logDecision } = this.#context;
    const { model = '', adapter = '' } = this.#head;
    const item = `${model}/${adapter}`;
    for (let index = 0; index < Math.min(ADAPTER_LOAD_ATTEMPTS, endpoints.length); index += 1) {
      const endpoint = endpoints[index];
      if (!endpoint.acceptsRequests(nowMs())) continue;
      // eslint-disable-next-line no-await-in-loop
      const isReady = await loadAdapter(endpoint, model, adapter);
      if (this.#isOver) return;
      if (this.#failIfUnservable()) return;
      if (isReady) {
        endpoint.markPresent(item);
        endpoint.markPresent(`load ${item}`);
        if (this.#deferIfOutdated()) return;
        if (!endpoint.acceptsRequests(nowMs())) continue;
        const readTokenCount = picker.readTokenCount(endpoint, this.#requirements);
        const candidateCount = endpoints.length;
        this.#sendOrFail({ kind: 'send', endpoint, candidateCount, readTokenCount });
        return;
      }
      endpoint.markMissing(`load ${item}`, nowMs());
    }
    logDecision(this.#head.requestId, 'adapter', 'none of the engines asked loaded the adapter', {
      item,
      asked: endpoints.slice(0, ADAPTER_LOAD_ATTEMPTS).map(({ id }) => id),
    });
    this.#waitReason = PickReason.adapter;
    this.#enqueue();
  }

  #sendOrFail(pick: SendPick): void {
    const obstacle = this.#obstacleToSending();
    if (obstacle !== undefined) {
      this.#fail(obstacle);
      return;
    }
    this.#current = this.#prepare(pick);
    this.#watchSilence();
    this.#send(this.#current);
  }

  get #remainingMs(): number {
    const { endMs, nowMs } = this.#context;
    return Math.floor(Math.min(this.#deadlineMs, endMs()) - nowMs());
  }

  // Returns why the request must not be sent to an endpoint now. Spends the retry budget if it may be.
  #obstacleToSending(): string | undefined {
    const { retryBudget, nowMs, instanceCount } = this.#context;
    if (this.#remainingMs < REMAINING_MIN_MS) return 'no time left';
    if (!this.#hasArrived && !this.#current) return undefined;
    const isAllowed = retryBudget(this.#service.name).spend(nowMs(), instanceCount());
    return isAllowed ? undefined : 'retry budget spent';
  }

  #prepare({ endpoint, candidateCount, readTokenCount }: SendPick): SentAttempt {
    const { nowMs, eventLoop, listState, logDecision, onSent, crashGuard } = this.#context;
    this.#sendCount += 1;
    this.#tried.add(endpoint.id);
    const { promptTokenCount } = this.#head;
    const remainingMs = this.#remainingMs;
    const isTest = crashGuard.isSuspect(this.#parts);
    const attempt = new SentAttempt({
      endpoint,
      sentMs: nowMs(),
      givenMs: remainingMs,
      promptTokenCount,
      heldTokenCount: Math.min(
        promptTokenCount + this.#head.outputTokenCountMax,
        this.#service.engine?.kvTokenCount ?? 0,
      ),
      model: this.#head.model,
      readTokenCount,
      isTest,
    });
    this.#last = attempt;
    onSent(endpoint, this.#head);
    logDecision(this.#head.requestId, 'dispatch', 'request sent to an endpoint', {
      endpoint: endpoint.id,
      model: this.#head.model,
      adapter: this.#head.adapter,
      own: endpoint.inFlightCount,
      candidates: candidateCount,
      offer: this.#sendCount,
      readTokenCount,
      remainingMs,
      sentAfterMs: Math.round(nowMs() - this.#exchange.receivedMs),
      readLagMs: Math.round(this.#exchange.readLagMs),
      lagMs: Math.round(eventLoop.lagMs),
      ...listState(),
      lastEvent: this.#relay.lastEvent,
      silentEndpoint: this.#current?.endpoint.id,
      parts: this.#parts,
      isSuspect: isTest,
    });
    return attempt;
  }

  #send(attempt: SentAttempt): void {
    const { codec } = this.#context;
    const { endpoint, givenMs } = attempt.sending;
    const { lastEvent: lastRelayed } = this.#relay;
    const headers = codec.writeDispatch({
      callerHeaders: this.#exchange.rawHeaders,
      endpointId: endpoint.id,
      remainingMs: givenMs,
      urgency: this.#service.engine && this.#priority,
      access: this.#target.access && { workspace: this.#target.access.workspace?.name },
      lastEvent: lastRelayed === undefined ? this.#head.lastEvent : `${lastRelayed}`,
    });
    const exchange = new EndpointAttempt(
      {
        onHead: (answer) => this.#onHead(attempt, answer),
        onData: (chunk) => this.#onData(attempt, chunk),
        onEnd: (isCertain) => this.#onEnd(attempt, isCertain),
        onFail: (failure) => this.#onFailure(attempt, failure),
      },
      (status, raw) => codec.readAnswer(status, raw),
      () => endpoint.connectionEnding,
    );
    attempt.attach(exchange);
    const { method, path } = this.#exchange;
    exchange.send(endpoint.pool, { method, path, headers, body: this.#body });
  }

  // Starts the time after which the request is also sent to another endpoint if this one is silent, unless
  // the request is unsafe to retry or this is its last attempt.
  #watchSilence(): void {
    this.#silence.stop();
    if (!this.#isSafeToRetry || this.#runCount + 1 >= this.#route.attemptCountMax) return;
    const headTimeoutMs = Math.max(
      HEAD_TIMEOUT_MIN_MS,
      this.#route.objectiveMs * HEAD_TIMEOUT_OBJECTIVES,
    );
    this.#silence.start(this.#current?.answer ? STALL_TIMEOUT_MS : headTimeoutMs);
  }

  #onCallerReady(): void {
    const unreadMs = this.#context.nowMs() - this.#behindSinceMs;
    if (this.#isCallerBehind && unreadMs > UNREAD_MS) this.#wasLeftUnread = true;
    this.#isCallerBehind = false;
    this.#current?.exchange.resume();
  }

  #onSilent(): void {
    if (!this.#current || this.#successor || this.#isOver) return;
    // The stream is left unread since the caller does not read it.
    if (this.#isCallerBehind) {
      this.#silence.start(STALL_TIMEOUT_MS);
      return;
    }
    // Whatever keeps the request from being sent elsewhere now is checked again later.
    if (!this.#startSuccessor()) this.#silence.start(STALL_TIMEOUT_MS);
  }

  #startSuccessor(): boolean {
    if (this.#sendCount >= SEND_COUNT_MAX) return false;
    if (this.#context.crashGuard.isSuspect(this.#parts)) return false;
    const pick = this.#pick();
    if (pick.kind !== 'send' || this.#obstacleToSending() !== undefined) return false;
    this.#successor = this.#prepare(pick);
    this.#send(this.#successor);
    return true;
  }

  // Returns whether the caller can take more data.
  #relaySuccessor(successor: SentAttempt): boolean {
    if (this.#isOver || successor !== this.#successor) return true;
    this.#takeOver(successor);
    return this.#relayBegun(successor);
  }

  // The successor answers: the silent attempt is given up.
  #takeOver(successor: SentAttempt): void {
    const silent = this.#current;
    clearTimeout(this.#takeOverTimer);
    this.#successor = undefined;
    this.#current = successor;
    if (silent) {
      silent.exchange.cancel();
      this.#recordFailure(silent, givenUp('silent for too long'));
    }
    this.#watchSilence();
  }

  // The successor isn't needed: the current attempt makes progress again or is complete.
  #dropSuccessor(): void {
    const successor = this.#successor;
    if (!successor) return;
    clearTimeout(this.#takeOverTimer);
    this.#successor = undefined;
    successor.exchange.cancel();
    this.#release(successor);
    this.#runCount += 1;
    this.#logFailure(successor, 'the silent endpoint answered again', AttemptEnder.instance);
  }

  #isOpenAttempt(attempt: SentAttempt): boolean {
    return !this.#isOver && (attempt === this.#current || attempt === this.#successor);
  }

  #onHead(attempt: SentAttempt, answer: AnswerHead): void {
    if (!this.#isOpenAttempt(attempt)) return;
    const { nowMs, onLeaving } = this.#context;
    // An endpoint may write an answer once more on a kept connection; only the id tells whose it is.
    if ((answer.requestId ?? '') !== this.#head.requestId) {
      attempt.exchange.cancel();
      this.#onFailure(attempt, givenUp('answer to another request'));
      return;
    }
    attempt.receiveHead(answer);
    this.#hasArrived = true;
    if (answer.isLeaving) onLeaving(attempt.endpoint, answer);
    if (answer.isMisdirected) {
      // The request may be sent to this endpoint again: a repeat of this refusal, which has the same id,
      // must not come on the same connection.
      attempt.exchange.cancel();
      this.#onCompleteAnswer(attempt, answer);
      return;
    }
    if (!isSuccess(answer)) return;
    attempt.endpoint.health.recordSuccess(nowMs() - attempt.sending.sentMs, nowMs());
    if (!this.#route.isStream) return;
    if (attempt === this.#successor) {
      // It takes over with its first event, or when that takes too long.
      this.#takeOverTimer = setTimeout(() => this.#relaySuccessor(attempt), TAKEOVER_MAX_MS);
      return;
    }
    this.#relay.open(answer);
    // An answer that cannot be continued elsewhere has begun.
    if (!this.#isSafeToRetry) this.#dropSuccessor();
    if (!this.#successor) this.#watchSilence();
  }

  #onData(attempt: SentAttempt, chunk: Buffer): boolean {
    const { answer } = attempt;
    if (!this.#isOpenAttempt(attempt) || !answer) return true;
    const isStream = isSuccess(answer) && this.#route.isStream;
    if (isStream && attempt === this.#current) return this.#forward(attempt, chunk);
    const bufferedBytes = attempt.buffer(chunk);
    if (isStream && attempt.hasEvent) return this.#relaySuccessor(attempt);
    this.#updateHeld();
    if (bufferedBytes <= BUFFERED_BYTES_MAX) return true;
    attempt.exchange.cancel();
    this.#onFailure(attempt, givenUp('answer too large'));
    return true;
  }

  #forward(attempt: SentAttempt, chunk: Buffer): boolean {
    const { nowMs } = this.#context;
    attempt.recordPrefill(nowMs());
    const { isWritable, eventCount, gapMs } = this.#relay.push(chunk);
    if (this.#relay.pendingBytes > EVENT_BYTES_MAX) {
      attempt.exchange.cancel();
      this.#onFailure(attempt, givenUp('event too large'));
      return true;
    }
    // A stream that sends bytes but completes no event is stalled.
    if (eventCount > 0) this.#recordEvents(attempt, eventCount);
    if (gapMs !== undefined) attempt.endpoint.health.recordEventGap(gapMs, nowMs());
    this.#updateHeld();
    if (!isWritable && !this.#isCallerBehind) this.#behindSinceMs = nowMs();
    this.#isCallerBehind = !isWritable;
    return isWritable;
  }

  #recordEvents(attempt: SentAttempt, eventCount: number): void {
    attempt.countEvents(eventCount);
    if (attempt.eventCount >= BEGINNING_EVENT_COUNT) this.#prove();
    if (!this.#successor) {
      this.#silence.refresh();
      return;
    }
    this.#dropSuccessor();
    this.#watchSilence();
  }

  #updateHeld(): void {
    if (this.#isOver) return;
    const ofAttempts = [this.#current, this.#successor].map((one) => one?.heldBytes ?? 0);
    this.#held.resize(ofAttempts.reduce((sum, bytes) => sum + bytes, this.#relay.heldBytes));
  }

  // The memory budget is exceeded, and no other run has buffered more.
  #dropBuffered(): void {
    const attempt = this.#successor ?? this.#current;
    this.#held.resize(0);
    if (!attempt || this.#isOver) return;
    attempt.exchange.cancel();
    this.#onFailure(attempt, givenUp('memory budget exceeded'));
  }

  // The request does not end engines: clears what it holds.
  #prove(): void {
    if (this.#isProven) return;
    this.#isProven = true;
    this.#context.crashGuard.proven(this.#parts);
  }

  #onEnd(attempt: SentAttempt, isCertain: boolean): void {
    if (!this.#isOpenAttempt(attempt)) return;
    const isWithinEvent = attempt === this.#current && this.#relay.isWithinEvent;
    if (isCertain || isWithinEvent) this.#onAnswerEnd(attempt);
    else void this.#onConnectionEnd(attempt);
  }

  // The answer has no length and ended with its connection. A stream that ended between two events is
  // complete if the endpoint closed it, and broken off if its process has ended. Of any other body nothing
  // shows that it is whole: faulty endpoints were seen to break off bodies and close in good order.
  async #onConnectionEnd(attempt: SentAttempt): Promise<void> {
    if (!this.#route.isStream) {
      this.#onFailure(attempt, brokenOff('the answer has no length and may be cut short'));
      return;
    }
    const { crashGuard, logDecision } = this.#context;
    const { endpoint, eventCount } = attempt;
    this.#silence.stop();
    const isRunning = await crashGuard.isRunning(endpoint);
    logDecision(this.#head.requestId, 'connection_end', 'the end of a connection ended an answer', {
      endpoint: endpoint.id,
      isRunning,
      eventCount,
    });
    if (!this.#isOpenAttempt(attempt)) return;
    if (isRunning) this.#onAnswerEnd(attempt);
    else this.#onFailure(attempt, brokenOff('the endpoint ended within the answer'));
  }

  #onAnswerEnd(attempt: SentAttempt): void {
    const answer = attempt.answer as AnswerHead;
    if (!this.#route.isStream || !isSuccess(answer)) {
      this.#onCompleteAnswer(attempt, answer);
      return;
    }
    if (attempt === this.#successor || attempt.eventCount === 0) {
      this.#onFailure(attempt, brokenOff('ended without an event'));
      return;
    }
    if (this.#relay.isWithinEvent) {
      this.#onFailure(attempt, brokenOff('ended within an event'));
      return;
    }
    this.#dropSuccessor();
    this.#prove();
    this.#release(attempt);
    this.#finish('ran', answer.status);
    this.#exchange.end();
  }

  #onCompleteAnswer(attempt: SentAttempt, answer: AnswerHead): void {
    const { nowMs } = this.#context;
    if (answer.didNotRun) {
      this.#onRejection(attempt, answer);
      return;
    }
    if (!answer.isSigned) {
      this.#onFailure(attempt, givenUp(`unsigned answer ${answer.status}`));
      return;
    }
    if (answer.status >= SERVER_ERROR) {
      attempt.endpoint.health.recordFailure(nowMs());
      this.#runCount += 1;
      this.#mayHaveRun = true;
      if (this.#goesOnAfter(attempt) || this.#mayRetry()) {
        this.#release(attempt);
        this.#logFailure(attempt, `the endpoint answered with status ${answer.status}`);
        this.#continueAfter(attempt, () => this.#dispatch());
        return;
      }
    }
    if (attempt === this.#successor && !isSuccess(answer)) {
      this.#onFailure(attempt, givenUp(`the endpoint answered with status ${answer.status}`));
      return;
    }
    if (attempt === this.#successor) this.#takeOver(attempt);
    else this.#dropSuccessor();
    this.#release(attempt);
    if (this.#relay.isOpen) {
      this.#finish('cut', answer.status);
      this.#exchange.cut();
      return;
    }
    this.#prove();
    this.#finish(isSuccess(answer) ? 'ran' : 'failed by endpoint', answer.status);
    this.#exchange.head(answer.status, answer.headers);
    this.#exchange.end(attempt.body);
  }

  // Handles an answer in which the endpoint states that it did not run the request and never will.
  #onRejection(attempt: SentAttempt, answer: AnswerHead): void {
    const { nowMs, onMisdirected, onBackoff } = this.#context;
    const { endpoint } = attempt;
    this.#release(attempt);
    if (answer.isMisdirected) {
      onMisdirected(endpoint, answer, this.#head);
      // Unless another endpoint answered at its address, the endpoint lacks the model or adapter and
      // may serve the request once that is loaded.
      if (answer.endpointId === undefined || answer.endpointId === endpoint.id) {
        this.#tried.delete(endpoint.id);
      }
    } else if (answer.retryAfterMs !== undefined) {
      onBackoff(endpoint, answer.retryAfterMs);
    } else {
      endpoint.health.recordFailure(nowMs());
    }
    this.#logFailure(
      attempt,
      `the endpoint did not run the request and answered with status ${answer.status}`,
    );
    this.#continueAfter(attempt, () => {
      if (this.#sendCount >= SEND_COUNT_MAX) this.#fail('rejected too often');
      else this.#dispatch();
    });
  }

  #onFailure(attempt: SentAttempt, failure: AttemptFailure): void {
    if (!this.#isOpenAttempt(attempt)) return;
    const { crashGuard } = this.#context;
    const { endpoint, isTest } = attempt.sending;
    if (failure.isRefused) crashGuard.connectionRefused(endpoint);
    this.#recordFailure(attempt, failure);
    const isSign = failure.isBroken && !this.#isProven;
    const examined = isSign && crashGuard.brokeOff(endpoint, { parts: this.#parts, isTest });
    this.#continueAfter(attempt, () => {
      if (examined) void examined.then(() => this.#retryOrFail(failure));
      else this.#retryOrFail(failure);
    });
  }

  // Whether another attempt goes on when this one has ended.
  #goesOnAfter(attempt: SentAttempt): boolean {
    return attempt === this.#current ? this.#successor !== undefined : this.#current !== undefined;
  }

  // Goes on with the other attempt if there is one, and otherwise as the caller of this method says.
  #continueAfter(attempt: SentAttempt, otherwise: () => void): void {
    const isCurrent = attempt === this.#current;
    clearTimeout(this.#takeOverTimer);
    if (isCurrent) this.#current = this.#successor;
    this.#successor = undefined;
    if (!this.#current) {
      this.#silence.stop();
      otherwise();
      return;
    }
    if (isCurrent) this.#relayBegun(this.#current);
    this.#watchSilence();
  }

  // Relays what a successor has answered before it took over. Returns whether the caller can take more data.
  #relayBegun(attempt: SentAttempt): boolean {
    const { answer } = attempt;
    if (!answer || !isSuccess(answer) || !this.#route.isStream) return true;
    this.#relay.open(answer);
    return attempt.bufferedBytes === 0 || this.#forward(attempt, attempt.takeBuffered());
  }

  #recordFailure(attempt: SentAttempt, failure: AttemptFailure): void {
    const { nowMs } = this.#context;
    const { health } = attempt.endpoint;
    if (failure.wasSent && !this.#wasLeftUnread) health.recordNoAnswer(nowMs());
    else if (!failure.wasSent) health.recordConnectFailure(nowMs());
    this.#release(attempt);
    if (failure.wasSent) {
      this.#hasArrived = true;
      this.#runCount += 1;
      this.#mayHaveRun = true;
    }
    this.#logFailure(attempt, failure.reason, this.#enderOf(attempt, failure));
  }

  #enderOf({ sending }: SentAttempt, { isBroken, wasSent }: AttemptFailure): AttemptEnder {
    if (!isBroken && wasSent) return AttemptEnder.instance;
    const isDue = this.#context.nowMs() > sending.sentMs + sending.givenMs - DEADLINE_SLACK_MS;
    return isDue ? AttemptEnder.deadline : AttemptEnder.endpoint;
  }

  #retryOrFail({ wasSent, reason }: AttemptFailure): void {
    if (this.#isOver) return;
    const mayRetry = wasSent ? this.#mayRetry() : this.#sendCount < SEND_COUNT_MAX;
    if (mayRetry) this.#dispatch();
    else this.#fail(reason);
  }

  #mayRetry(): boolean {
    return this.#isSafeToRetry && this.#runCount < this.#route.attemptCountMax;
  }

  #logFailure(
    { sending, endpoint, answer, eventCount, exchange }: SentAttempt,
    reason: string,
    endedBy: AttemptEnder = AttemptEnder.endpoint,
  ): void {
    const { logDecision, nowMs, stoppingForMs } = this.#context;
    logDecision(this.#head.requestId, 'attempt_failed', reason, {
      endpoint: endpoint.id,
      endedBy,
      afterMs: Math.round(nowMs() - sending.sentMs),
      givenMs: sending.givenMs,
      stoppingForMs: stoppingForMs(),
      lastEvent: this.#relay.lastEvent,
      hadHead: answer !== undefined,
      eventCount,
      ...exchange.received,
      parts: this.#parts,
      mayHaveRun: this.#mayHaveRun,
    });
  }

  // Ends the request without an endpoint's answer: cuts an answer that has begun, answers 502 if an
  // endpoint may have run the request, and otherwise refuses with 503 and `Retry-After`.
  #fail(reason: string, etaMs?: number): true {
    if (this.#isOver) return true;
    if (this.#relay.isOpen) {
      this.#finish('cut', 0, reason);
      this.#exchange.cut();
      return true;
    }
    if (this.#mayHaveRun) {
      this.#finish('unknown', 502, reason);
      this.#exchange.refuse(502, reason);
      return true;
    }
    return this.#refuse(reason, this.#returnAfterMs(etaMs));
  }

  // When the caller of a refused request should return.
  #returnAfterMs(etaMs: number | undefined): number {
    const { randomUnit, retryAfterMinMs, holdTime, nowMs } = this.#context;
    const returnMs = callerReturnMs(
      {
        etaMs: etaMs || this.#slotEtaMs,
        holdMs: holdTime(this.#service.name).meanMs,
        remainingMs: this.#deadlineMs - nowMs(),
      },
      randomUnit(),
    );
    return Math.max(retryAfterMinMs, returnMs);
  }

  // Ends a request that has not run and never will.
  #refuse(reason: string, returnAfterMs: number): true {
    const { onRefused, nowMs } = this.#context;
    const returnMs = nowMs() + returnAfterMs;
    onRefused(this.#head, this.#target, { returnMs, deadlineMs: this.#deadlineMs });
    this.#finish('refused', 503, reason, {
      priority: this.#priority,
      retryAfterMs: Math.round(returnAfterMs),
      slotEtaMs: this.#slotEtaMs && Math.round(this.#slotEtaMs),
      slotShare: this.#slotShare,
      waiting: this.#queue.size,
    });
    this.#exchange.refuse(503, reason, returnAfterMs);
    return true;
  }

  // Another instance can serve a request that has not run, so its caller need not wait.
  #failForShutdown(reason: string): true {
    if (this.#relay.isOpen || this.#mayHaveRun) return this.#fail(reason);
    return this.#refuse(reason, this.#context.retryAfterMinMs);
  }

  #onDeadline(): void {
    if (this.#isOver) return;
    const wasAtWork = this.#cancelAttempts();
    if (!this.#mayHaveRun && !wasAtWork) {
      this.#fail('deadline passed');
      return;
    }
    this.#finish('timeout', 504, 'deadline passed');
    if (this.#relay.isOpen) this.#exchange.cut();
    else this.#exchange.refuse(504, 'deadline passed');
  }

  #onCallerGone(): void {
    if (this.#isOver) return;
    this.#cancelAttempts();
    this.#finish('caller gone', 0);
  }

  // Returns whether there was an attempt.
  #cancelAttempts(): boolean {
    const attempts = [this.#current, this.#successor].filter((attempt) => attempt !== undefined);
    this.#current = undefined;
    this.#successor = undefined;
    attempts.forEach((attempt) => {
      this.#release(attempt);
      attempt.exchange.cancel();
    });
    return attempts.length > 0;
  }

  #release(attempt: SentAttempt): void {
    const { nowMs, onReleased } = this.#context;
    if (attempt.release()) onReleased(attempt.endpoint, nowMs() - attempt.sending.sentMs);
  }

  #finish(
    outcome: string,
    status: number,
    reason = '',
    inputs: Readonly<Record<string, unknown>> = {},
  ): void {
    this.#isOver = true;
    this.#held.resize(0);
    const afterMs = this.#context.nowMs() - this.#exchange.receivedMs;
    if (outcome === 'ran') {
      const times = this.#context.answerTimes(this.#route.name);
      times.record(afterMs, this.#head.outputTokenCountMax);
    }
    this.#context.openRuns.delete(this);
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#takeOverTimer);
    this.#silence.stop();
    if (this.#waiter) this.#queue.remove(this.#waiter);
    const last = (this.#current ?? this.#last)?.sending;
    this.#context.onFinished(
      { requestId: this.#head.requestId, route: this.#route.name, outcome, status, reason },
      {
        configVersion: this.#target.configVersion,
        workspace: this.#target.access?.workspace?.name,
        units: this.#target.charge?.units,
        offers: this.#sendCount,
        model: this.#head.model,
        adapter: this.#head.adapter,
        endpoint: last?.endpoint.id,
        afterMs: Math.round(afterMs),
        ...(last && {
          sentAfterMs: Math.round(last.sentMs - this.#exchange.receivedMs),
          givenMs: last.givenMs,
        }),
        stoppingForMs: this.#context.stoppingForMs(),
        ...(outcome === 'cut' && { wasAtWork: this.#wasAtWork }),
        ...this.#relay.timing(),
        ...inputs,
      },
    );
  }
}
