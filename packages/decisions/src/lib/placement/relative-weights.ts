/** Bounds of a model's weight compared to the mean. */
const WEIGHT_MIN = 0.5;
const WEIGHT_MAX = 2;

/** Demand for a model, with what its callers lose. */
interface WeightedDemand {
  readonly name: string;
  /** Requested tokens per second. */
  readonly demand: number;
  /** Mean weight of its requests, by their work; 1 by default. */
  readonly weight?: number;
}

/**
 * Compares what the callers of each model lose. The weights have a mean of about 1 over the demand, so that demand
 * stays comparable to what engines can serve.
 *
 * @param models - models with their demand
 * @returns weight of each model's demand
 */
export function relativeWeights(models: readonly WeightedDemand[]): Map<string, number> {
  const demand = models.reduce((sum, model) => sum + model.demand, 0);
  const loss = models.reduce((sum, model) => sum + model.demand * (model.weight ?? 1), 0);
  const mean = demand > 0 && loss > 0 ? loss / demand : 1;
  return new Map(
    models.map(({ name, weight = 1 }) => [
      name,
      Math.min(WEIGHT_MAX, Math.max(WEIGHT_MIN, weight / mean)),
    ]),
  );
}
