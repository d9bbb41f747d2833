import type { PlacementInput } from './placement-input.js';

/** Number of rounds of the allocation: enough for it to settle. */
const ROUND_COUNT = 8;

type Engine = PlacementInput['engines'][number];
type Model = PlacementInput['models'][number];

/** Allocates the demand for models to the engines that hold their replicas. */
export class DemandAllocation {
  /** Tokens per second allocated to each engine. */
  readonly loadByEngine = new Map<string, number>();
  /** Demand for each model that exceeds what its engines can serve, in tokens per second. */
  readonly unservedByModel = new Map<string, number>();

  /**
   * @param models - models with demand
   * @param engines - engines by name
   * @param replicas - names of the engines that hold each model
   */
  constructor(
    models: readonly Model[],
    engines: ReadonlyMap<string, Engine>,
    replicas: ReadonlyMap<string, ReadonlySet<string>>,
  ) {
    engines.forEach((_, name) => this.loadByEngine.set(name, 0));
    models.forEach(({ name, demand }) => this.unservedByModel.set(name, demand));
    const shares = models.flatMap(({ name, demand }) => {
      const holders = [...(replicas.get(name) ?? [])].flatMap((id) => engines.get(id) ?? []);
      return demand > 0 && holders.length > 0 ? [{ name, holders }] : [];
    });
    // In each round every model allocates its remaining demand to its engines in proportion to
    // their spare capacity. The allocation settles within a few rounds.
    for (let round = 0; round < ROUND_COUNT; round += 1) {
      shares.forEach(({ name, holders }) => this.#allocate(name, holders));
    }
  }

  /** Demand for all models that no engine can serve, in tokens per second. */
  get unserved(): number {
    return [...this.unservedByModel.values()].reduce((sum, remaining) => sum + remaining, 0);
  }

  /** @returns spare capacity of an engine, in tokens per second */
  spare({ name, tokensPerSecond }: Engine): number {
    return Math.max(0, tokensPerSecond - (this.loadByEngine.get(name) ?? 0));
  }

  #allocate(name: string, holders: readonly Engine[]): void {
    const remaining = this.unservedByModel.get(name) ?? 0;
    if (remaining <= 0) return;
    const spares = holders.map((engine) => this.spare(engine));
    const total = spares.reduce((sum, spare) => sum + spare, 0);
    if (total <= 0) return;
    const allocated = Math.min(remaining, total);
    holders.forEach((engine, index) => {
      const part = (allocated * spares[index]) / total;
      this.loadByEngine.set(engine.name, (this.loadByEngine.get(engine.name) ?? 0) + part);
    });
    this.unservedByModel.set(name, remaining - allocated);
  }
}
