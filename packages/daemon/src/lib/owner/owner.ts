import type { ConfigView, EndpointLoad } from '@chervilseam/decisions';
import { Outcome } from '@chervilseam/model';
import type { ConfigBody, RefusalCode } from '@chervilseam/model';
import type { createDrivers } from '@chervilseam/endpoints';
import type { PeerStream } from '@chervilseam/peer';
import type { Metrics } from '../observe/metrics.js';
import type { HopTracer } from '../observe/tracer.js';
import type { DispatchParams } from '../peer/dispatch-params.js';
import { OwnedEndpoint } from './owned-endpoint.js';
import { OwnedRequest } from './owned-request.js';

/** Dependencies of the owner. */
interface OwnerContext {
  readonly drivers: ReturnType<typeof createDrivers>;
  /** @returns the configuration in force */
  readonly view: () => ConfigView;
  readonly tracer: HopTracer;
  readonly metrics: Metrics;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
  /** @returns whether an endpoint accepts no new work */
  readonly isLeaving: (endpoint: string) => boolean;
  /** Maximum number of concurrent requests to an endpoint whose owner is unreachable. */
  readonly fallbackConcurrency: number;
}

const MS_PER_SECOND = 1_000;

type EndpointConfig = ConfigBody<'endpoint'>;

/** Refusals by the admission control's verdict. */
const refusals = {
  full: { code: 'overloaded', message: 'the queue of the endpoint is full' },
  late: { code: 'deadline', message: 'it cannot start in time' },
} as const satisfies Record<string, { code: RefusalCode; message: string }>;

/**
 * The requests that this instance runs as owner of their endpoints, or in place of an unreachable
 * owner. Each endpoint has one queue and one admission control.
 */
export class Owner {
  readonly #context: OwnerContext;
  readonly #endpoints = new Map<string, OwnedEndpoint>();
  /** Waiting and running requests, by the id of the attempt. */
  readonly #requests = new Map<string, OwnedRequest>();

  /** @param context - dependencies of the owner */
  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Number of requests that wait or run at this instance. */
  get requestCount(): number {
    return this.#requests.size;
  }

  /**
   * @param endpoint - name of an endpoint
   * @returns its load as measured here, or `undefined` if this instance has had no request for it
   */
  loadOf(endpoint: string): EndpointLoad | undefined {
    return this.#endpoints.get(endpoint)?.control.load;
  }

  /**
   * @param endpoint - name of an engine
   * @returns estimated throughput at its concurrency limit, in tokens per second; `undefined` until
   *   the time between its tokens has been measured
   */
  tokensPerSecond(endpoint: string): number | undefined {
    const load = this.loadOf(endpoint);
    if (!load || load.tokenMs === 0) return undefined;
    return Math.round((load.limit * MS_PER_SECOND) / Math.max(load.tokenMs, 1));
  }

  /**
   * Admits or refuses a request that an entry sent.
   *
   * @param params - the request
   * @param stream - the stream to the entry
   */
  dispatch(params: DispatchParams, stream: PeerStream): void {
    const { view, drivers, tracer, nowMs, isLeaving } = this.#context;
    const config = view().endpoints.get(params.endpoint);
    if (!config || isLeaving(params.endpoint) || this.#requests.has(params.attempt)) {
      const message = config ? 'the endpoint is leaving' : 'the endpoint is not known here';
      stream.fail({ code: 'no_endpoint', outcome: Outcome.notRun, message });
      return;
    }
    const endpoint = this.#endpoint(params, config);
    const request = new OwnedRequest(params, stream, {
      endpoint,
      origin: config.url,
      driver: drivers[config.driver],
      tracer,
      nowMs,
      onDone: (done, durationMs) => this.#finish(done, durationMs),
    });
    this.#requests.set(params.attempt, request);
    this.#admit(request);
  }

  /**
   * Ends the measuring window of each endpoint, moves requests away from slowed endpoints, starts
   * waiting requests while slots are free, and refuses those whose latest start has passed.
   */
  tick(): void {
    const nowMs = this.#context.nowMs();
    this.#endpoints.forEach((endpoint) => {
      endpoint.endWindow(nowMs);
      this.#moveAwayIfSlowed(endpoint);
      this.#advance(endpoint);
    });
  }

  // Requests at a slowed endpoint should run at another one, which their entries choose. Waiting
  // requests are refused, so that their entries send them elsewhere. For running ones, the entries
  // are advised to move them, the newest first, since these lose the least work.
  #moveAwayIfSlowed(endpoint: OwnedEndpoint): void {
    endpoint.control.removeWaitingIfSlowed().forEach(({ id }) => {
      const message = 'the endpoint is slowed';
      this.#requests.get(id)?.fail({ code: 'overloaded', outcome: Outcome.notRun, message });
    });
    const { moveCount } = endpoint.control;
    if (moveCount === 0) return;
    const running = [...this.#requests.values()].filter((request) => request.isAdvisable(endpoint));
    running.slice(-moveCount).forEach((request) => request.adviseMove());
  }

  // Has the admission control start, queue or refuse a new request.
  #admit(request: OwnedRequest): void {
    const { attempt, caller, share, priority, startInMs } = request.params;
    const nowMs = this.#context.nowMs();
    const ticket = { id: attempt, caller, share, priority, startByMs: nowMs + startInMs };
    const verdict = request.endpoint.control.offer(ticket, nowMs);
    if (verdict === 'start' || verdict === 'wait') request.accept();
    if (verdict === 'start') request.start();
    if (verdict === 'full' || verdict === 'late') Owner.#refuse(request, verdict);
    this.#updateGauges(request.endpoint);
  }

  // Starts waiting requests while slots are free and refuses those whose latest start has passed.
  #advance(endpoint: OwnedEndpoint): void {
    const { started, late } = endpoint.control.queue.advance(this.#context.nowMs());
    started.forEach(({ id }) => this.#requests.get(id)?.start());
    late.forEach(({ id }) => {
      const request = this.#requests.get(id);
      if (request) Owner.#refuse(request, 'late');
    });
    this.#updateGauges(endpoint);
  }

  static #refuse(request: OwnedRequest, verdict: keyof typeof refusals): void {
    const retryAfterMs = request.endpoint.control.queue.expectedWaitMs(request.params.priority);
    request.fail({ ...refusals[verdict], outcome: Outcome.notRun, retryAfterMs });
  }

  #finish(request: OwnedRequest, durationMs: number | undefined): void {
    this.#requests.delete(request.params.attempt);
    request.endpoint.control.onEnd(request.params.attempt, durationMs);
    this.#advance(request.endpoint);
  }

  // An instance that runs requests in place of an unreachable owner has a low limit, so that
  // several instances doing so at once do not overload the endpoint.
  #endpoint({ endpoint: name, isFallback }: DispatchParams, config: EndpointConfig): OwnedEndpoint {
    const { driver, concurrencyMax } = config;
    let endpoint = this.#endpoints.get(name);
    if (!endpoint) {
      endpoint = new OwnedEndpoint(name, driver, concurrencyMax, this.#context.nowMs());
      this.#endpoints.set(name, endpoint);
    }
    endpoint.control.limitConcurrency(
      isFallback ? this.#context.fallbackConcurrency : concurrencyMax,
    );
    return endpoint;
  }

  #updateGauges({ name, control: { queue } }: OwnedEndpoint): void {
    this.#context.metrics.running.set({ endpoint: name }, queue.runningCount);
    this.#context.metrics.waiting.set({ endpoint: name }, queue.waitingCount);
  }
}
