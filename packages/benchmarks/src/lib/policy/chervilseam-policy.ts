import { EndpointControl, RouteTable } from '@chervilseam/decisions';
import type { FluidEngine } from './fluid-engine.js';
import type { SimPolicy } from './sim-policy.js';
import type { SimRequest } from './sim-request.js';
import type { SimWorld } from './sim-world.js';

/** Length of a measurement window of the admission control, in milliseconds. */
const WINDOW_MS = 50;
/** Time from arrival within which the first token must come, in milliseconds. */
const FIRST_TOKEN_DEADLINE_MS = 1_400;
/** Maximum time between tokens that the admission control aims at, in milliseconds. */
const TOKEN_TARGET_MS = 37;
/**
 * Maximum number of engines to which a request is offered; counted anew after it was moved or
 * redirected.
 */
const ATTEMPT_COUNT_MAX = 3;
/** Priority of requests from order counters. */
const COUNTER_PRIORITY = 90;
const DEFAULT_PRIORITY = 50;

interface RunningRequest {
  readonly request: SimRequest;
  /** Cancels the request at its engine and returns the number of tokens produced there. */
  readonly cancel: () => number;
  /** Number of tokens that other engines produced before this one. */
  tokensDone: number;
}

/**
 * The policy of this system: runs the decision classes that the daemons use. Each entry instance
 * chooses an engine by the reported loads; the owner of the engine admits, queues or refuses the
 * request. Messages between the two take the network delay of the world.
 */
export class ChervilseamPolicy implements SimPolicy {
  readonly #world: SimWorld;
  /** Reported loads, by entry instance. */
  readonly #routes: RouteTable[];
  /** Admission control of the owner, by engine. */
  readonly #controls: EndpointControl[];
  /** Running requests by id, by engine. */
  readonly #running: Map<string, RunningRequest>[];
  /** Queued requests, by id. */
  readonly #waiting = new Map<string, { request: SimRequest; tokensDone: number }>();
  /** Number of tokens that each engine had produced at the end of the last window. */
  readonly #sampledTokens: number[];

  constructor(world: SimWorld) {
    this.#world = world;
    this.#routes = Array.from({ length: world.entryCount }, () => new RouteTable(world.random));
    this.#controls = world.engines.map(
      ({ shape }) =>
        new EndpointControl({
          concurrencyMax: shape.streamCountMax,
          tokenTargetMs: TOKEN_TARGET_MS,
        }),
    );
    this.#running = world.engines.map(() => new Map());
    this.#sampledTokens = world.engines.map(() => 0);
    const tick = (): void => {
      world.engines.forEach((engine, index) => this.#endWindow(engine, index));
      world.clock.after(WINDOW_MS, tick);
    };
    world.clock.after(WINDOW_MS, tick);
  }

  submit(request: SimRequest): void {
    this.#route(request, 0, new Set(), 0);
  }

  // Sends a request from its entry instance to an engine that is not excluded, or refuses it.
  #route(request: SimRequest, tokensDone: number, excluded: Set<number>, attempts: number): void {
    const { replicas, clock, engines } = this.#world;
    const eligible = replicas[request.model].filter((engine) => !excluded.has(engine));
    // There are three failure domains; entry instances are assigned to them in turn.
    const candidates = eligible.map((engine) => ({
      endpoint: String(engine),
      isLocal: engines[engine].shape.domain === request.entry % 3,
    }));
    const chosen = this.#routes[request.entry].choose(candidates, clock.nowMs);
    const remainingMs = request.arrivedMs + FIRST_TOKEN_DEADLINE_MS - clock.nowMs;
    if (!chosen || attempts >= ATTEMPT_COUNT_MAX || (remainingMs <= 0 && tokensDone === 0)) {
      request.refusedMs = clock.nowMs;
      return;
    }
    const engine = Number(chosen.endpoint);
    excluded.add(engine);
    clock.after(this.#world.hopMs(request.entry, engine), () =>
      this.#offer(request, tokensDone, engine, () =>
        this.#route(request, tokensDone, excluded, attempts + 1),
      ),
    );
  }

  // Offers a request to the owner of an engine; `tryAnother` runs at the entry instance on refusal.
  #offer(request: SimRequest, tokensDone: number, engine: number, tryAnother: () => void): void {
    const { nowMs } = this.#world.clock;
    const control = this.#controls[engine];
    const startByMs = tokensDone > 0 ? Infinity : request.arrivedMs + FIRST_TOKEN_DEADLINE_MS;
    const priority = request.isCounter ? COUNTER_PRIORITY : DEFAULT_PRIORITY;
    const ticket = { id: request.id, caller: request.caller, share: 1, priority, startByMs };
    const verdict = control.offer(ticket, nowMs);
    if (verdict === 'start') this.#start(request, tokensDone, engine);
    if (verdict === 'wait') this.#waiting.set(request.id, { request, tokensDone });
    this.#reportLoad(request, engine, () => {
      if (verdict === 'full' || verdict === 'late') tryAnother();
    });
  }

  // Reports the engine's load to the entry instance of a request, which then runs `then`.
  #reportLoad(request: SimRequest, engine: number, then: () => void = () => {}): void {
    const { load } = this.#controls[engine];
    this.#world.clock.after(this.#world.hopMs(request.entry, engine), () => {
      this.#routes[request.entry].update(String(engine), load, this.#world.clock.nowMs);
      then();
    });
  }

  #start(request: SimRequest, tokensDone: number, engine: number): void {
    const { clock, engines } = this.#world;
    const startedMs = clock.nowMs;
    const hopMs = this.#world.hopMs(request.entry, engine);
    const cancel = engines[engine].start(
      request,
      tokensDone,
      () => {
        this.#controls[engine].onFirstToken(clock.nowMs - startedMs);
        request.firstTokenMs ??= clock.nowMs + hopMs;
        this.#reportLoad(request, engine);
      },
      () => {
        request.doneMs = clock.nowMs + hopMs;
        this.#running[engine].delete(request.id);
        this.#controls[engine].onEnd(request.id, clock.nowMs - startedMs);
        this.#reportLoad(request, engine);
        this.#startWaiting(engine);
      },
    );
    this.#running[engine].set(request.id, { request, cancel, tokensDone });
  }

  // Starts queued requests that fit now, and refuses those that cannot start before their deadline.
  #startWaiting(engine: number): void {
    const { started, late } = this.#controls[engine].queue.advance(this.#world.clock.nowMs);
    started.forEach(({ id }) => {
      const waiting = this.#waiting.get(id);
      this.#waiting.delete(id);
      if (waiting) this.#start(waiting.request, waiting.tokensDone, engine);
    });
    late.forEach(({ id }) => {
      const waiting = this.#waiting.get(id);
      this.#waiting.delete(id);
      if (!waiting) return;
      const { request } = waiting;
      this.#reportLoad(request, engine, () => {
        request.refusedMs = this.#world.clock.nowMs;
      });
    });
  }

  // Ends a measurement window: updates the admission control of an engine from its token rate.
  #endWindow(engine: FluidEngine, index: number): void {
    const total = engine.updateTotalTokens();
    const control = this.#controls[index];
    control.onWindow(engine.decodingCount, total - this.#sampledTokens[index], WINDOW_MS);
    this.#sampledTokens[index] = total;
    this.#startWaiting(index);
    if (control.load.isSlowed) this.#moveRequests(index);
  }

  // Redirects the queued requests of a slowed engine. Then moves some of its running requests to
  // replicas with a free slot, those without a first token before the others; a request without such a
  // replica stays.
  #moveRequests(index: number): void {
    const { engines, replicas, clock } = this.#world;
    this.#redirectWaiting(index);
    const newestFirst = [...this.#running[index].values()].reverse();
    const hasNoToken = ({ request }: RunningRequest): boolean => request.firstTokenMs === undefined;
    const moving = [
      ...newestFirst.filter(hasNoToken),
      ...newestFirst.filter((running) => !hasNoToken(running)),
    ];
    moving.slice(0, this.#controls[index].moveCount).forEach(({ request, cancel, tokensDone }) => {
      const others = replicas[request.model].filter((other) => {
        const { runningCount, limit, isSlowed, waitingCount } = this.#controls[other].load;
        return other !== index && !isSlowed && waitingCount === 0 && runningCount < limit;
      });
      if (others.length === 0) return;
      this.#running[index].delete(request.id);
      this.#controls[index].onEnd(request.id, undefined);
      const totalTokensDone = tokensDone + cancel();
      request.moves += 1;
      const allEngines = engines.map((_, other) => other);
      const excluded = new Set(allEngines.filter((other) => !others.includes(other)));
      clock.after(this.#world.hopMs(request.entry, index), () => {
        this.#route(request, totalTokensDone, excluded, 0);
      });
    });
  }

  // Removes all queued requests of a slowed engine; their entry instances choose other engines.
  #redirectWaiting(index: number): void {
    this.#controls[index].removeWaitingIfSlowed().forEach(({ id }) => {
      const waiting = this.#waiting.get(id);
      this.#waiting.delete(id);
      if (!waiting) return;
      this.#reportLoad(waiting.request, index, () => {
        this.#route(waiting.request, waiting.tokensDone, new Set([index]), 1);
      });
    });
  }
}
