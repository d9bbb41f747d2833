import { EndpointControl, RouteTable } from '@chervilseam/decisions';
import type { FluidEngine } from './fluid-engine.js';
import type { SimPolicy } from './sim-policy.js';
import type { SimRequest } from './sim-request.js';
import type { SimWorld } from './sim-world.js';

const WINDOW_MS = 50;
const DEADLINE_MS = 1_400;
const TOKEN_TARGET_MS = 37;
const TRY_COUNT_MAX = 3;
const COUNTER_PRIORITY = 90;
const USUAL_PRIORITY = 50;

interface Running {
  readonly request: SimRequest;
  readonly cancel: () => number;
  tokensDone: number;
}

/** The system's own decisions, driven as the daemons drive them: entries, owners, hops between. */
export class OwnedPolicy implements SimPolicy {
  readonly #world: SimWorld;
  readonly #routes: RouteTable[];
  readonly #controls: EndpointControl[];
  readonly #running: Map<string, Running>[];
  readonly #waiting = new Map<string, { request: SimRequest; tokensDone: number }>();
  readonly #sampled: number[];

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
    this.#sampled = world.engines.map(() => 0);
    const tick = (): void => {
      world.engines.forEach((engine, index) => this.#window(engine, index));
      world.clock.after(WINDOW_MS, tick);
    };
    world.clock.after(WINDOW_MS, tick);
  }

  submit(request: SimRequest): void {
    this.#route(request, 0, new Set(), 0);
  }

  #route(request: SimRequest, tokensDone: number, excluded: Set<number>, tries: number): void {
    const { replicas, clock, engines } = this.#world;
    const fresh = replicas[request.model].filter((engine) => !excluded.has(engine));
    const candidates = fresh.map((engine) => ({
      endpoint: String(engine),
      isLocal: engines[engine].shape.domain === request.entry % 3,
    }));
    const chosen = this.#routes[request.entry].choose(candidates, clock.nowMs);
    const leftMs = request.arrivedMs + DEADLINE_MS - clock.nowMs;
    if (!chosen || tries >= TRY_COUNT_MAX || (leftMs <= 0 && tokensDone === 0)) {
      request.refusedMs = clock.nowMs;
      return;
    }
    const engine = Number(chosen.endpoint);
    excluded.add(engine);
    clock.after(this.#world.hopMs(request.entry, engine), () =>
      this.#offer(request, tokensDone, engine, () =>
        this.#route(request, tokensDone, excluded, tries + 1),
      ),
    );
  }

  #offer(request: SimRequest, tokensDone: number, engine: number, retry: () => void): void {
    const { nowMs } = this.#world.clock;
    const control = this.#controls[engine];
    const startByMs = tokensDone > 0 ? Infinity : request.arrivedMs + DEADLINE_MS;
    const priority = request.isCounter ? COUNTER_PRIORITY : USUAL_PRIORITY;
    const ticket = { id: request.id, caller: request.caller, share: 1, priority, startByMs };
    const verdict = control.offer(ticket, nowMs);
    if (verdict === 'start') this.#start(request, tokensDone, engine);
    if (verdict === 'wait') this.#waiting.set(request.id, { request, tokensDone });
    this.#tellEntry(request, engine, () => {
      if (verdict === 'full' || verdict === 'late') retry();
    });
  }

  #tellEntry(request: SimRequest, engine: number, then: () => void = () => {}): void {
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
        this.#tellEntry(request, engine);
      },
      () => {
        request.doneMs = clock.nowMs + hopMs;
        this.#running[engine].delete(request.id);
        this.#controls[engine].onEnd(request.id, clock.nowMs - startedMs);
        this.#tellEntry(request, engine);
        this.#advance(engine);
      },
    );
    this.#running[engine].set(request.id, { request, cancel, tokensDone });
  }

  #advance(engine: number): void {
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
      this.#tellEntry(request, engine, () => {
        request.refusedMs = this.#world.clock.nowMs;
      });
    });
  }

  #window(engine: FluidEngine, index: number): void {
    const total = engine.sample();
    const control = this.#controls[index];
    control.onWindow(engine.decodingCount, total - this.#sampled[index], WINDOW_MS);
    this.#sampled[index] = total;
    this.#advance(index);
    if (control.load.isSlowed) this.#moveAway(index);
  }

  // Streams at a slowed endpoint go on elsewhere, each if its entry knows a place that is free.
  #moveAway(index: number): void {
    const { engines, replicas, clock } = this.#world;
    this.#redirectWaiting(index);
    const all = [...this.#running[index].values()].reverse();
    const isFresh = ({ request }: Running): boolean => request.firstTokenMs === undefined;
    const moving = [...all.filter(isFresh), ...all.filter((running) => !isFresh(running))];
    moving.slice(0, this.#controls[index].moveCount).forEach(({ request, cancel, tokensDone }) => {
      const others = replicas[request.model].filter((other) => {
        const { runningCount, limit, isSlowed, waitingCount } = this.#controls[other].load;
        return other !== index && !isSlowed && waitingCount === 0 && runningCount < limit;
      });
      if (others.length === 0) return;
      this.#running[index].delete(request.id);
      this.#controls[index].onEnd(request.id, undefined);
      const done = tokensDone + cancel();
      request.moves += 1;
      const indexes = engines.map((_, other) => other);
      const excluded = new Set(indexes.filter((other) => !others.includes(other)));
      clock.after(this.#world.hopMs(request.entry, index), () => {
        this.#route(request, done, excluded, 0);
      });
    });
  }

  #redirectWaiting(index: number): void {
    this.#controls[index].removeWaitingIfSlowed().forEach(({ id }) => {
      const waiting = this.#waiting.get(id);
      this.#waiting.delete(id);
      if (!waiting) return;
      this.#tellEntry(waiting.request, index, () => {
        this.#route(waiting.request, waiting.tokensDone, new Set([index]), 1);
      });
    });
  }
}
