import type { SimPolicy } from './sim-policy.js';
import type { SimRequest } from './sim-request.js';
import type { SimWorld } from './sim-world.js';

/** Maximum time from arrival to the first token, in milliseconds. */
const FIRST_TOKEN_TARGET_MS = 1_400;
/** Maximum time between tokens, in milliseconds. */
const TOKEN_TARGET_MS = 37;
/** Time between attempts to start the waiting requests, in milliseconds. */
const RETRY_INTERVAL_MS = 5;

/**
 * An upper bound for the other policies: a single scheduler without network delay that knows the
 * current state of every engine. It holds each request until an engine can serve it within the
 * targets, and refuses it once the first token can no longer be in time.
 */
export class ClairvoyantPolicy implements SimPolicy {
  readonly #world: SimWorld;
  #waiting: SimRequest[] = [];

  constructor(world: SimWorld) {
    this.#world = world;
    const retry = (): void => {
      this.#startAllPossible();
      world.clock.after(RETRY_INTERVAL_MS, retry);
    };
    world.clock.after(RETRY_INTERVAL_MS, retry);
  }

  submit(request: SimRequest): void {
    this.#waiting.push(request);
    this.#startAllPossible();
  }

  #startAllPossible(): void {
    const { nowMs } = this.#world.clock;
    // Requests from order counters sort as if they had arrived earlier.
    const effectiveArrivalOf = (request: SimRequest): number =>
      request.arrivedMs - (request.isCounter ? FIRST_TOKEN_TARGET_MS : 0);
    this.#waiting.sort((left, right) => effectiveArrivalOf(left) - effectiveArrivalOf(right));
    this.#waiting = this.#waiting.filter((request) => {
      if (this.#tryStart(request)) return false;
      if (nowMs - request.arrivedMs < FIRST_TOKEN_TARGET_MS) return true;
      request.refusedMs = nowMs;
      return false;
    });
  }

  // Starts a request at the replica that would finish it first within the targets, if there is one.
  #tryStart(request: SimRequest): boolean {
    const { clock, engines, replicas } = this.#world;
    const waitedMs = clock.nowMs - request.arrivedMs;
    const options = replicas[request.model].map((index) => {
      const engine = engines[index];
      const tokenMs = engine.tokenMs(engine.streamCount + 1);
      const prefillMs = engine.prefillBacklogMs + engine.prefillMs(request.promptTokens);
      const firstTokenMs = waitedMs + prefillMs + tokenMs;
      const meetsTargets = tokenMs <= TOKEN_TARGET_MS && firstTokenMs <= FIRST_TOKEN_TARGET_MS;
      return { index, costMs: meetsTargets ? prefillMs + tokenMs * request.tokens : Infinity };
    });
    const best = options.reduce((least, option) => (option.costMs < least.costMs ? option : least));
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
