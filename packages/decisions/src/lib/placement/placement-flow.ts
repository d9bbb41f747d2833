import type { PlacementInput } from './placement-input.js';

const ROUND_COUNT = 8;

type Engine = PlacementInput['engines'][number];
type Model = PlacementInput['models'][number];

/** How demand spreads over the engines of a placement. */
export class PlacementFlow {
  /** Tokens a second that each engine would make. */
  readonly loadByEngine = new Map<string, number>();
  /** Tokens a second wanted of each model that no engine of its could make. */
  readonly unservedByModel = new Map<string, number>();

  /**
   * @param models - models with demand
   * @param engines - engines
   * @param replicas - engines of each model
   */
  constructor(
    models: readonly Model[],
    engines: ReadonlyMap<string, Engine>,
    replicas: ReadonlyMap<string, ReadonlySet<string>>,
  ) {
    engines.forEach((_, name) => this.loadByEngine.set(name, 0));
    models.forEach(({ name, demand }) => this.unservedByModel.set(name, demand));
    // Water finds its level in a few rounds: each model gives its rest to its engines in proportion
    // to the room that they have left.
    for (let round = 0; round < ROUND_COUNT; round += 1) {
      models.forEach((model) => this.#pour(model, engines, replicas.get(model.name)));
    }
  }

  /** Tokens a second that are wanted and not made. */
  get unserved(): number {
    return [...this.unservedByModel.values()].reduce((sum, rest) => sum + rest, 0);
  }

  /** @returns tokens a second that an engine has room for */
  room({ name, tokensPerSecond }: Engine): number {
    return Math.max(0, tokensPerSecond - (this.loadByEngine.get(name) ?? 0));
  }

  #pour(
    { name }: Model,
    engines: ReadonlyMap<string, Engine>,
    replicas: ReadonlySet<string> | undefined,
  ): void {
    const rest = this.unservedByModel.get(name) ?? 0;
    if (rest <= 0 || !replicas) return;
    const targets = [...replicas].flatMap((engine) => engines.get(engine) ?? []);
    const rooms = targets.map((engine) => this.room(engine));
    const total = rooms.reduce((sum, room) => sum + room, 0);
    if (total <= 0) return;
    const poured = Math.min(rest, total);
    targets.forEach((engine, index) => {
      const part = (poured * rooms[index]) / total;
      this.loadByEngine.set(engine.name, (this.loadByEngine.get(engine.name) ?? 0) + part);
    });
    this.unservedByModel.set(name, rest - poured);
  }
}
