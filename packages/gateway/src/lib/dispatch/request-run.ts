import { waitLimitMs } from '@chervilseam/decisions';
import type { Waiter } from '@chervilseam/decisions';
import type { RouteSpec, ServiceSpec } from '@chervilseam/model';
import type { CallerExchange } from '../ingress/caller-exchange.js';
import type { Endpoint } from '../feed/endpoint.js';
import type { AnswerHead } from '../ports/answer-head.js';
import type { CallerHead } from '../ports/caller-head.js';
import type { AttemptFailure } from './attempt-failure.js';
import { EndpointAttempt } from './endpoint-attempt.js';
import type { PickNeed } from './pick-need.js';
import type { Pick } from './pick.js';
import { PickReason } from './pick-reason.js';
import type { RunContext } from './run-context.js';
import type { RunTarget } from './run-target.js';
import { StreamRelay } from './stream-relay.js';

/** Less time than this is not enough for an answer, in milliseconds. */
const REMAINING_MIN_MS = 15;
/** Answers without events are held back until they are whole, up to this many bytes. */
const HELD_BYTES_MAX = 256 * 1024;
/** Endpoints that a request may be offered to, those that did not run it among them; a count. */
const OFFER_COUNT_MAX = 5;
/** Patience with a silent endpoint as a multiple of the route's objective. */
const PATIENCE_OBJECTIVES = 2.5;
const PATIENCE_MIN_MS = 250;
/** A stream that stands still for this long goes on elsewhere, where it may, in milliseconds. */
const STALL_MS = 1_200;
/** Time to wait while nothing better is known, in milliseconds. */
const RETRY_AFTER_MS = 600;
/** Callers that were refused together come back spread over this time, in milliseconds. */
const RETRY_AFTER_SPREAD_MS = 1_200;
/** Engines that are asked to load an adapter before the request waits; a count. */
const PREPARE_COUNT = 3;
const OK_MAX = 299;
const SERVER_ERROR = 500;

// Without its endpoint's signature a success may be anybody's.
const isSuccess = ({ status, isSigned }: AnswerHead): boolean => isSigned && status <= OK_MAX;

/** One caller's request, through all its attempts. */
export class RequestRun {
  readonly #context: RunContext;
  readonly #exchange: CallerExchange;
  readonly #route: RouteSpec;
  readonly #service: ServiceSpec;
  readonly #head: CallerHead;
  readonly #body: Buffer;
  readonly #deadlineMs: number;
  readonly #relay: StreamRelay;
  readonly #tried = new Set<string>();
  readonly #deadline: NodeJS.Timeout;
  #waiter: Waiter | undefined;
  #attempt: EndpointAttempt | undefined;
  #endpoint: Endpoint | undefined;
  #lastEndpoint: Endpoint | undefined;
  #patience: NodeJS.Timeout | undefined;
  #sentMs = 0;
  #isFirstByteIn = false;
  #hasStartedOver = false;
  #waitReason: PickReason = PickReason.full;
  /** Time until more engines have the model, in milliseconds, as of the last look. */
  #reliefMs: number | undefined;
  /** Prompt tokens that the endpoint reads up to the first event; 0 once it has come. */
  #readTokenCount = 0;
  #runCount = 0;
  #offerCount = 0;
  #mayHaveRun = false;
  #isOver = false;
  #answer: AnswerHead | undefined;
  #held: Buffer[] = [];
  #heldBytes = 0;

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
    this.#head = head;
    this.#body = body;
    this.#relay = new StreamRelay(exchange, context.nowMs);
    const waitMs = Math.min(head.waitMs ?? Infinity, target.route.timeoutMs);
    this.#deadlineMs = exchange.receivedMs + waitMs;
    const leftMs = Math.max(0, this.#deadlineMs - context.nowMs());
    this.#deadline = setTimeout(() => this.#expire(), leftMs);
    Object.assign(exchange, {
      onGone: () => this.#callerGone(),
      onDrain: () => this.#attempt?.resume(),
    });
  }

  /** Looks for an endpoint. */
  start(): void {
    this.#context.asked(this.#head, { route: this.#route, service: this.#service });
    this.#context.budget(this.#service.name).earn(this.#context.nowMs());
    this.#next();
  }

  get #isSafeToRepeat(): boolean {
    return this.#route.isIdempotent && (!this.#relay.isOpen || this.#route.isResumable);
  }

  #next(): void {
    if (this.#isOver || this.#tryNow()) return;
    this.#wait();
  }

  /** @returns whether the request needs no place any more: it was sent, refused or is being prepared */
  #tryNow(): boolean {
    if (this.#isOver) return true;
    const pick = this.#pick();
    const handlers: Record<Pick['kind'], () => boolean> = {
      send: () => {
        this.#send(pick as Extract<Pick, { kind: 'send' }>);
        return true;
      },
      prepare: () => {
        void this.#prepare((pick as Extract<Pick, { kind: 'prepare' }>).endpoints);
        return true;
      },
      wait: () => {
        const { reason, etaMs, reliefMs } = pick as Extract<Pick, { kind: 'wait' }>;
        if (reason === PickReason.tried && !this.#mayStartOver()) return this.#giveUp(reason);
        // What cannot be there in time is refused now, not when the time is up.
        if (etaMs >= this.#waitMaxMs(reason)) return this.#giveUp(reason, reliefMs ?? etaMs);
        this.#waitReason = reason;
        this.#reliefMs = reliefMs;
        return false;
      },
      refuse: () => {
        const { reason, retryAfterMs } = pick as Extract<Pick, { kind: 'refuse' }>;
        return this.#giveUp(reason, retryAfterMs);
      },
    };
    return handlers[pick.kind]();
  }

  #pick(): Pick {
    return this.#context.picker.pick(this.#need);
  }

  get #need(): PickNeed {
    return {
      service: this.#service,
      model: this.#head.model,
      adapter: this.#head.adapter,
      paceMaxMs: this.#route.paceMaxMs,
      promptTokenCount: this.#head.promptTokenCount,
      objectiveMs: this.#route.objectiveMs,
      tried: this.#tried,
    };
  }

  // The only endpoint that has the model may be asked again by a request that may run twice.
  #mayStartOver(): boolean {
    if (this.#hasStartedOver || !this.#isSafeToRepeat) return false;
    this.#hasStartedOver = true;
    this.#tried.clear();
    return true;
  }

  #waitMaxMs(reason: PickReason): number {
    const nowMs = this.#context.nowMs();
    return waitLimitMs({
      isForPlace: reason === PickReason.full,
      isAnswering: this.#relay.isOpen,
      sinceMs: nowMs - this.#exchange.receivedMs,
      leftMs: this.#deadlineMs - nowMs,
      objectiveMs: this.#route.objectiveMs,
      callerPatienceMs: this.#route.callerPatienceMs,
    });
  }

  #wait(): void {
    const { line, nowMs } = this.#context;
    const waiter: Waiter = {
      priority: this.#route.priority,
      model: this.#waitReason === PickReason.model ? this.#head.model : undefined,
      untilMs: nowMs() + this.#waitMaxMs(this.#waitReason),
      tryNow: () => {
        const isDone = this.#tryNow();
        if (isDone) this.#waiter = undefined;
        return isDone;
      },
      giveUp: () => {
        this.#waiter = undefined;
        this.#giveUp(`waited in vain: ${this.#waitReason}`, this.#reliefMs);
      },
    };
    this.#waiter = waiter;
    line(this.#service.name).add(waiter);
  }

  async #prepare(endpoints: readonly Endpoint[]): Promise<void> {
    const { picker, prepare, nowMs, decision } = this.#context;
    const { model = '', adapter = '' } = this.#head;
    const item = `${model}/${adapter}`;
    for (let at = 0; at < Math.min(PREPARE_COUNT, endpoints.length); at += 1) {
      const endpoint = endpoints[at];
      // eslint-disable-next-line no-await-in-loop
      const isReady = await prepare(endpoint, model, adapter);
      if (this.#isOver) return;
      if (isReady) {
        endpoint.gained(item);
        endpoint.gained(`load ${item}`);
        const readTokenCount = picker.readTokenCount(endpoint, this.#need);
        const candidateCount = endpoints.length;
        this.#send({ kind: 'send', endpoint, candidateCount, readTokenCount });
        return;
      }
      endpoint.denied(`load ${item}`, nowMs());
    }
    decision(this.#head.requestId, 'adapter', 'no engine could load the adapter', {
      item,
      asked: endpoints.slice(0, PREPARE_COUNT).map(({ id }) => id),
    });
    this.#waitReason = PickReason.adapter;
    this.#wait();
  }

  #send(pick: Extract<Pick, { kind: 'send' }>): void {
    const { endpoint, candidateCount, readTokenCount } = pick;
    const { nowMs, codec, budget, decision, instanceCount, sent } = this.#context;
    const remainingMs = Math.floor(this.#deadlineMs - nowMs());
    if (remainingMs < REMAINING_MIN_MS) {
      this.#giveUp('no time left');
      return;
    }
    const isRepeat = this.#offerCount > 0;
    if (isRepeat && !budget(this.#service.name).spend(nowMs(), instanceCount())) {
      this.#giveUp('retry budget spent');
      return;
    }
    this.#offerCount += 1;
    this.#tried.add(endpoint.id);
    this.#endpoint = endpoint;
    this.#sentMs = nowMs();
    this.#isFirstByteIn = false;
    this.#readTokenCount = readTokenCount;
    endpoint.began(this.#head.promptTokenCount);
    sent(endpoint, this.#head);
    decision(this.#head.requestId, 'dispatch', 'sent to an endpoint', {
      endpoint: endpoint.id,
      model: this.#head.model,
      adapter: this.#head.adapter,
      own: endpoint.ownCount,
      candidates: candidateCount,
      offer: this.#offerCount,
      readTokenCount,
      remainingMs,
      lastEvent: this.#relay.lastEvent,
    });
    const { lastEvent: lastSent } = this.#relay;
    const lastEvent = lastSent === undefined ? this.#head.lastEvent : `${lastSent}`;
    const headers = codec.writeDispatch({
      callerHeaders: this.#exchange.rawHeaders,
      endpointId: endpoint.id,
      remainingMs,
      urgency: this.#service.engine && this.#route.priority,
      lastEvent,
    });
    const attempt: EndpointAttempt = new EndpointAttempt(
      {
        onHead: (answer) => this.#takeHead(attempt, answer),
        onData: (chunk) => this.#takeData(attempt, chunk),
        onEnd: () => this.#takeEnd(attempt),
        onFail: (failure) => this.#takeFailure(attempt, failure),
      },
      (status, raw) => codec.readAnswer(status, raw),
      () => endpoint.ending,
    );
    this.#attempt = attempt;
    this.#answer = undefined;
    this.#held = [];
    this.#heldBytes = 0;
    this.#armPatience();
    const { method, path } = this.#exchange;
    attempt.send(endpoint.pool, { method, path, headers, body: this.#body });
  }

  // A request that may be repeated is not left with an endpoint that says nothing.
  #armPatience(): void {
    clearTimeout(this.#patience);
    if (!this.#isSafeToRepeat || this.#runCount + 1 >= this.#route.attemptCountMax) return;
    const patienceMs = this.#isFirstByteIn
      ? STALL_MS
      : Math.max(PATIENCE_MIN_MS, this.#route.objectiveMs * PATIENCE_OBJECTIVES);
    this.#patience = setTimeout(() => this.#abandonAttempt(), patienceMs);
  }

  #abandonAttempt(): void {
    const attempt = this.#attempt;
    if (!attempt || this.#isOver) return;
    // Without another endpoint that could take it, the request is better off where it is.
    if (this.#pick().kind !== 'send') {
      this.#patience = setTimeout(() => this.#abandonAttempt(), STALL_MS);
      return;
    }
    attempt.cancel();
    this.#takeFailure(attempt, { wasSent: true, reason: 'silent for too long' });
  }

  #takeHead(attempt: EndpointAttempt, answer: AnswerHead): void {
    if (attempt !== this.#attempt) return;
    const { nowMs } = this.#context;
    if (answer.requestId !== undefined && answer.requestId !== this.#head.requestId) {
      attempt.cancel();
      this.#takeFailure(attempt, { wasSent: true, reason: 'answer to another request' });
      return;
    }
    this.#answer = answer;
    this.#isFirstByteIn = true;
    if (isSuccess(answer)) this.#endpoint?.health.succeeded(nowMs() - this.#sentMs, nowMs());
    if (!isSuccess(answer) || !this.#route.isStream) return;
    this.#armPatience();
    this.#relay.open(answer);
  }

  #takeData(attempt: EndpointAttempt, chunk: Buffer): boolean {
    if (attempt !== this.#attempt || !this.#answer) return true;
    if (isSuccess(this.#answer) && this.#route.isStream) return this.#pass(chunk);
    this.#held.push(chunk);
    this.#heldBytes += chunk.length;
    if (this.#heldBytes <= HELD_BYTES_MAX) return true;
    attempt.cancel();
    this.#takeFailure(attempt, { wasSent: true, reason: 'answer too large' });
    return true;
  }

  #pass(chunk: Buffer): boolean {
    this.#patience?.refresh();
    this.#noteRead();
    const { isWelcome, gapMs } = this.#relay.push(chunk);
    if (gapMs !== undefined) this.#endpoint?.health.paced(gapMs, this.#context.nowMs());
    return isWelcome;
  }

  // The first event shows that the prompt has been read.
  #noteRead(): void {
    if (this.#readTokenCount === 0 || !this.#endpoint) return;
    const elapsedMs = this.#context.nowMs() - this.#sentMs;
    this.#endpoint.readSpeed.took(this.#readTokenCount, elapsedMs);
    this.#endpoint.wasRead(this.#head.promptTokenCount);
    this.#readTokenCount = 0;
  }

  #takeEnd(attempt: EndpointAttempt): void {
    if (attempt !== this.#attempt) return;
    const answer = this.#answer as AnswerHead;
    if (this.#relay.isOpen && isSuccess(answer)) {
      if (this.#relay.isWithinEvent) {
        this.#takeFailure(attempt, { wasSent: true, reason: 'ended within an event' });
        return;
      }
      this.#release();
      this.#finish('ran', answer.status);
      this.#exchange.end();
      return;
    }
    this.#judge(attempt, answer);
  }

  #judge(attempt: EndpointAttempt, answer: AnswerHead): void {
    const { nowMs } = this.#context;
    if (answer.didNotRun) {
      this.#takeRejection(answer);
      return;
    }
    if (!answer.isSigned) {
      this.#takeFailure(attempt, { wasSent: true, reason: `unsigned answer ${answer.status}` });
      return;
    }
    if (answer.status >= SERVER_ERROR) {
      this.#endpoint?.health.failed(nowMs());
      this.#runCount += 1;
      this.#mayHaveRun = true;
      if (this.#mayTryAgain()) {
        this.#release();
        this.#explainFailure(`status ${answer.status}`);
        this.#next();
        return;
      }
    }
    this.#release();
    if (this.#relay.isOpen) {
      this.#finish('cut', answer.status);
      this.#exchange.cut();
      return;
    }
    this.#finish(isSuccess(answer) ? 'ran' : 'failed by endpoint', answer.status);
    this.#exchange.head(answer.status, answer.headers);
    this.#exchange.end(Buffer.concat(this.#held));
  }

  // The endpoint says that it did not run the request and never will.
  #takeRejection(answer: AnswerHead): void {
    const { nowMs, denied } = this.#context;
    const endpoint = this.#endpoint as Endpoint;
    this.#release();
    if (answer.isMisdirected) {
      denied(endpoint, answer, this.#head);
      // The engine itself may still serve the request once what it lacked is there.
      if (answer.endpointId === undefined || answer.endpointId === endpoint.id) {
        this.#tried.delete(endpoint.id);
      }
    } else {
      endpoint.health.failed(nowMs());
    }
    this.#explainFailure(`rejected with ${answer.status}`);
    if (this.#offerCount >= OFFER_COUNT_MAX) this.#giveUp('rejected too often');
    else this.#next();
  }

  #takeFailure(attempt: EndpointAttempt, { wasSent, reason }: AttemptFailure): void {
    if (attempt !== this.#attempt) return;
    const { nowMs } = this.#context;
    if (wasSent) this.#endpoint?.health.wasSilent(nowMs());
    else this.#endpoint?.health.wasUnreachable(nowMs());
    this.#release();
    if (wasSent) {
      this.#runCount += 1;
      this.#mayHaveRun = true;
    }
    this.#explainFailure(reason);
    const mayGoOn = wasSent ? this.#mayTryAgain() : this.#offerCount < OFFER_COUNT_MAX;
    if (mayGoOn) this.#next();
    else this.#giveUp(reason);
  }

  #mayTryAgain(): boolean {
    return this.#isSafeToRepeat && this.#runCount < this.#route.attemptCountMax;
  }

  #explainFailure(reason: string): void {
    const { decision, nowMs } = this.#context;
    decision(this.#head.requestId, 'attempt_failed', reason, {
      endpoint: this.#lastEndpoint?.id,
      afterMs: Math.round(nowMs() - this.#sentMs),
      lastEvent: this.#relay.lastEvent,
      mayHaveRun: this.#mayHaveRun,
    });
  }

  // Ends the request without an endpoint's answer. Only what certainly did not run is refused.
  #giveUp(reason: string, etaMs?: number): true {
    if (this.#isOver) return true;
    const { randomUnit, retryAfterMinMs } = this.#context;
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
    const spreadMs = randomUnit() * RETRY_AFTER_SPREAD_MS;
    const returnMs = etaMs === undefined || etaMs === 0 ? RETRY_AFTER_MS : etaMs;
    const retryAfterMs = Math.max(retryAfterMinMs, returnMs + spreadMs);
    this.#context.refused(this.#head, { route: this.#route, service: this.#service });
    this.#finish('refused', 503, reason);
    this.#exchange.refuse(503, reason, retryAfterMs);
    return true;
  }

  #expire(): void {
    if (this.#isOver) return;
    const attempt = this.#attempt;
    this.#release();
    attempt?.cancel();
    if (!this.#mayHaveRun && !attempt) {
      this.#giveUp('deadline passed');
      return;
    }
    this.#finish('timeout', 504, 'deadline passed');
    if (this.#relay.isOpen) this.#exchange.cut();
    else this.#exchange.refuse(504, 'deadline passed');
  }

  #callerGone(): void {
    if (this.#isOver) return;
    const attempt = this.#attempt;
    this.#release();
    attempt?.cancel();
    this.#finish('caller gone', 0);
  }

  #release(): void {
    clearTimeout(this.#patience);
    const endpoint = this.#endpoint;
    this.#attempt = undefined;
    this.#endpoint = undefined;
    if (!endpoint) return;
    if (this.#readTokenCount > 0) endpoint.wasRead(this.#head.promptTokenCount);
    this.#readTokenCount = 0;
    endpoint.ended();
    this.#context.ended(this.#context.nowMs() - this.#sentMs);
    this.#lastEndpoint = endpoint;
  }

  #finish(outcome: string, status: number, reason = ''): void {
    this.#isOver = true;
    clearTimeout(this.#deadline);
    clearTimeout(this.#patience);
    if (this.#waiter) this.#context.line(this.#service.name).remove(this.#waiter);
    this.#context.finished(
      { requestId: this.#head.requestId, route: this.#route.name, outcome, status, reason },
      {
        offers: this.#offerCount,
        model: this.#head.model,
        adapter: this.#head.adapter,
        endpoint: this.#lastEndpoint?.id,
        afterMs: Math.round(this.#context.nowMs() - this.#exchange.receivedMs),
        ...(this.#offerCount > 0 && {
          sentAfterMs: Math.round(this.#sentMs - this.#exchange.receivedMs),
        }),
        ...this.#relay.timing(),
      },
    );
  }
}
