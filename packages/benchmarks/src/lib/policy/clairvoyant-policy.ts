import type { SimPolicy } from './sim-policy.js';
import type { SimRequest } from './sim-request.js';
import type { SimWorld } from './sim-world.js';

const FIRST_TOKEN_TARGET_MS = 1_400;
const TOKEN_TARGET_MS = 37;
const CHECK_MS = 5;

/**
 * The bound: one place that knows every engine's true state at once, holds requests until an engine
 * has room for them, and drops only what can no longer attain.
 */
export class ClairvoyantPolicy implements SimPolicy {
  readonly #world: SimWorld;
  #waiting: SimRequest[] = [];

  constructor(world: SimWorld) {
    this.#world = world;
    const check = (): void => {
      this.#placeAll();
      world.clock.after(CHECK_MS, check);
    };
    world.clock.after(CHECK_MS, check);
  }

  submit(request: SimRequest): void {
    this.#waiting.push(request);
    this.#placeAll();
  }

  #placeAll(): void {
    const { nowMs } = this.#world.clock;
    const urgency = (request: SimRequest): number =>
      request.arrivedMs - (request.isCounter ? FIRST_TOKEN_TARGET_MS : 0);
    this.#waiting.sort((left, right) => urgency(left) - urgency(right));
    this.#waiting = this.#waiting.filter((request) => {
      if (this.#place(request)) return false;
      if (nowMs - request.arrivedMs < FIRST_TOKEN_TARGET_MS) return true;
      request.refusedMs = nowMs;
      return false;
    });
  }

  #place(request: SimRequest): boolean {
    const { clock, engines, replicas } = this.#world;
    const waitedMs = clock.nowMs - request.arrivedMs;
    const costs = replicas[request.model].map((index) => {
      const engine = engines[index];
      const tokenMs = engine.tokenMs(engine.streamCount + 1);
      const prefillMs = engine.prefillBacklogMs + engine.prefillMs(request.promptTokens);
      const firstMs = waitedMs + prefillMs + tokenMs;
      const isGood = tokenMs <= TOKEN_TARGET_MS && firstMs <= FIRST_TOKEN_TARGET_MS;
      return { index, costMs: isGood ? prefillMs + tokenMs * request.tokens : Infinity };
    });
    const best = costs.reduce((least, cost) => (cost.costMs < least.costMs ? cost : least));
    if (best.costMs === Infinity) return false;
    engines[best.index].start(
      request,
      0,
      () => {
        request.firstTokenMs = clock.nowMs;
      },
      () => {
        request.doneMs = clock.nowMs;
      },
    );
    return true;
  }
}
