import type { SimPolicy } from './sim-policy.js';
import type { SimRequest } from './sim-request.js';
import type { SimWorld } from './sim-world.js';

/** Age of the state that engines report, in milliseconds. */
const REPORT_LAG_MS = 2_000;

/**
 * Chooses one of the engines with the requested model. `outstanding` are the entry instance's own
 * requests in progress by engine; `round` counts its choices for the model, for the round robin.
 */
type EngineChooser = (
  world: SimWorld,
  request: SimRequest,
  outstanding: readonly number[],
  round: number,
) => number;

const minBy = (items: readonly number[], measure: (item: number) => number): number =>
  items.reduce((best, item) => (measure(item) < measure(best) ? item : best), items[0]);

function reportedStreamCount(world: SimWorld, engine: number): number {
  const reportedUntilMs = world.clock.nowMs - REPORT_LAG_MS;
  return world.engines[engine].history.findLast(({ atMs }) => atMs <= reportedUntilMs)?.count ?? 0;
}

/** Common load-balancing policies, as baselines. */
const choosers: Readonly<Record<string, EngineChooser>> = {
  random: (world, { model }) => world.random.pick(world.replicas[model]) as number,
  roundRobin: (world, { model }, _outstanding, round) =>
    world.replicas[model][round % world.replicas[model].length],
  leastReported: (world, { model }) =>
    minBy(world.replicas[model], (engine) => reportedStreamCount(world, engine)),
  leastOutstanding: (world, { model }, outstanding) =>
    minBy(world.replicas[model], (engine) => outstanding[engine]),
};

/**
 * A baseline without owners: each entry instance sends requests directly to the engines, which
 * queue them without limit.
 */
export class DirectPolicy implements SimPolicy {
  readonly #world: SimWorld;
  readonly #chooseEngine: EngineChooser;
  /** Number of requests in progress, by entry instance and engine. */
  readonly #outstanding: number[][];
  /** Next turn of the round robin, by entry instance and model. */
  readonly #rounds: Map<string, number> = new Map();

  constructor(world: SimWorld, name: string) {
    this.#world = world;
    this.#chooseEngine = choosers[name];
    this.#outstanding = Array.from({ length: world.entryCount }, () => world.engines.map(() => 0));
  }

  /** Names of the baselines. */
  static get names(): readonly string[] {
    return Object.keys(choosers);
  }

  submit(request: SimRequest): void {
    const { clock, engines } = this.#world;
    const key = `${request.entry}/${request.model}`;
    const round = this.#rounds.get(key) ?? request.entry;
    this.#rounds.set(key, round + 1);
    const outstanding = this.#outstanding[request.entry];
    const engine = this.#chooseEngine(this.#world, request, outstanding, round);
    const hopMs = this.#world.hopMs(request.entry, engine);
    outstanding[engine] += 1;
    clock.after(hopMs, () => {
      engines[engine].start(
        request,
        0,
        () => {
          request.firstTokenMs = clock.nowMs + hopMs;
        },
        () => {
          request.doneMs = clock.nowMs + hopMs;
          outstanding[engine] -= 1;
        },
      );
    });
  }
}
