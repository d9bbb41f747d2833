import type { SimPolicy } from './sim-policy.js';
import type { SimRequest } from './sim-request.js';
import type { SimWorld } from './sim-world.js';

const REPORT_LAG_MS = 2_000;

/** Chooses one of the engines that have the model. */
type Chooser = (
  world: SimWorld,
  request: SimRequest,
  outstanding: readonly number[],
  round: number,
) => number;

const leastBy = (items: readonly number[], measure: (item: number) => number): number =>
  items.reduce((best, item) => (measure(item) < measure(best) ? item : best), items[0]);

function reportedCount(world: SimWorld, engine: number): number {
  const limitMs = world.clock.nowMs - REPORT_LAG_MS;
  return world.engines[engine].history.findLast(({ atMs }) => atMs <= limitMs)?.count ?? 0;
}

/** The usual ways to choose, as baselines. */
const choosers: Readonly<Record<string, Chooser>> = {
  random: (world, { model }) => world.random.pick(world.replicas[model]) as number,
  roundRobin: (world, { model }, _outstanding, round) =>
    world.replicas[model][round % world.replicas[model].length],
  leastReported: (world, { model }) =>
    leastBy(world.replicas[model], (engine) => reportedCount(world, engine)),
  leastOutstanding: (world, { model }, outstanding) =>
    leastBy(world.replicas[model], (engine) => outstanding[engine]),
};

/** A baseline: each entry sends to engines directly, which queue for themselves. */
export class DirectPolicy implements SimPolicy {
  readonly #world: SimWorld;
  readonly #choose: Chooser;
  readonly #outstanding: number[][];
  readonly #rounds: Map<string, number> = new Map();

  constructor(world: SimWorld, name: string) {
    this.#world = world;
    this.#choose = choosers[name];
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
    const engine = this.#choose(this.#world, request, outstanding, round);
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
