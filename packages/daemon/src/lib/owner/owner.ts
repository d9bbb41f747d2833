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

/** What the owner of endpoints needs around it. */
interface OwnerContext {
  readonly drivers: ReturnType<typeof createDrivers>;
  readonly view: () => ConfigView;
  readonly tracer: HopTracer;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
  readonly isLeaving: (endpoint: string) => boolean;
  readonly fallbackConcurrency: number;
}

const MS_PER_SECOND = 1_000;

type EndpointConfig = ConfigBody<'endpoint'>;

const verdictCodes = {
  full: { code: 'overloaded', message: 'the queue of the endpoint is full' },
  late: { code: 'deadline', message: 'it cannot start in time' },
} as const satisfies Record<string, { code: RefusalCode; message: string }>;

/** All work of this instance for endpoints: each has one queue and one set of running requests. */
export class Owner {
  readonly #context: OwnerContext;
  readonly #endpoints = new Map<string, OwnedEndpoint>();
  readonly #requests = new Map<string, OwnedRequest>();

  /** @param context - drivers, configuration and clock */
  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Requests that wait or run here; a count. */
  get requestCount(): number {
    return this.#requests.size;
  }

  /**
   * @param endpoint - name of an endpoint
   * @returns its load as seen here, if it has had work here
   */
  loadOf(endpoint: string): EndpointLoad | undefined {
    return this.#endpoints.get(endpoint)?.control.load;
  }

  /**
   * @param endpoint - name of an engine
   * @returns tokens a second that it makes at the target's pace, if it has been seen at work
   */
  tokensPerSecond(endpoint: string): number | undefined {
    const load = this.loadOf(endpoint);
    if (!load || load.tokenMs === 0) return undefined;
    return Math.round((load.limit * MS_PER_SECOND) / Math.max(load.tokenMs, 1));
  }

  /**
   * Takes a request from an entry.
   *
   * @param params - what is asked for
   * @param stream - the way back
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
    this.#offer(request);
  }

  /** Ends a window of time: learns speeds, refuses what waited too long, starts what may start. */
  tick(): void {
    const nowMs = this.#context.nowMs();
    this.#endpoints.forEach((endpoint) => {
      endpoint.endWindow(nowMs);
      this.#relieve(endpoint);
      this.#advance(endpoint);
    });
  }

  // Requests at a slowed endpoint are better off elsewhere. Whether there is a place, their entries
  // know; those that wait are given back, and the newest that run are told first, since they have
  // the least to lose.
  #relieve(endpoint: OwnedEndpoint): void {
    endpoint.control.removeWaitingIfSlowed().forEach(({ id }) => {
      const message = 'the endpoint is slowed';
      this.#requests.get(id)?.fail({ code: 'overloaded', outcome: Outcome.notRun, message });
    });
    const { moveCount } = endpoint.control;
    if (moveCount === 0) return;
    const running = [...this.#requests.values()].filter((request) => request.isAdvisable(endpoint));
    running.slice(-moveCount).forEach((request) => request.adviseMove());
  }

  #offer(request: OwnedRequest): void {
    const { attempt, caller, share, priority, startInMs } = request.params;
    const nowMs = this.#context.nowMs();
    const ticket = { id: attempt, caller, share, priority, startByMs: nowMs + startInMs };
    const verdict = request.endpoint.control.offer(ticket, nowMs);
    if (verdict === 'start' || verdict === 'wait') request.accept();
    if (verdict === 'start') request.start();
    if (verdict === 'full' || verdict === 'late') Owner.#refuse(request, verdict);
    this.#gauge(request.endpoint);
  }

  #advance(endpoint: OwnedEndpoint): void {
    const { started, late } = endpoint.control.queue.advance(this.#context.nowMs());
    started.forEach(({ id }) => this.#requests.get(id)?.start());
    late.forEach(({ id }) => {
      const request = this.#requests.get(id);
      if (request) Owner.#refuse(request, 'late');
    });
    this.#gauge(endpoint);
  }

  static #refuse(request: OwnedRequest, verdict: keyof typeof verdictCodes): void {
    const retryAfterMs = request.endpoint.control.queue.expectedWaitMs(request.params.priority);
    request.fail({ ...verdictCodes[verdict], outcome: Outcome.notRun, retryAfterMs });
  }

  #finish(request: OwnedRequest, durationMs: number | undefined): void {
    this.#requests.delete(request.params.attempt);
    request.endpoint.control.onEnd(request.params.attempt, durationMs);
    this.#advance(request.endpoint);
  }

  // An instance that stands in for an unreachable owner keeps a small limit of its own, so that
  // several that do so at once cannot swamp the endpoint.
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

  #gauge({ name, control: { queue } }: OwnedEndpoint): void {
    this.#context.metrics.running.set({ endpoint: name }, queue.runningCount);
    this.#context.metrics.waiting.set({ endpoint: name }, queue.waitingCount);
  }
}
