/** A model with its demand and how soon its callers want an answer. */
interface ForecastModel {
  readonly name: string;
  /** Wanted tokens a second. */
  readonly demand: number;
  /** Whether its callers want an answer sooner than a load would take. */
  readonly isUrgent: boolean;
}

/** Part of the largest urgent demand that any rising urgent model is expected to reach. */
const RISE_SHARE = 0.75;
/** Demand below this part of the largest urgent demand is a stray request and no rise. */
const RISING_MIN_SHARE = 0.01;
/** Part of the engines' tokens that is left free for what no forecast foresees. */
const FREE_SHARE = 0.15;

/**
 * Foresees where demand may move while a load takes its time. Demand moves from model to model
 * within seconds, and the next one to be busy is among those that callers have begun to ask for: each
 * of them gets engines in advance, as far as today's demand leaves engines idle. Models whose callers
 * can wait for a load get none in advance.
 *
 * @param models - models with their demand
 * @param tokensPerSecond - tokens a second that all engines make
 * @returns tokens a second to prepare for, by model; never less than today's demand
 */
export function forecastDemand(
  models: readonly ForecastModel[],
  tokensPerSecond: number,
): Map<string, number> {
  const largest = Math.max(0, ...models.map(({ demand, isUrgent }) => (isUrgent ? demand : 0)));
  const isRising = ({ demand, isUrgent }: ForecastModel): boolean =>
    isUrgent && demand > RISING_MIN_SHARE * largest;
  const extraOf = (model: ForecastModel): number =>
    isRising(model) ? Math.max(0, RISE_SHARE * largest - model.demand) : 0;
  const wanted = models.reduce((sum, { demand }) => sum + demand, 0);
  const extra = models.reduce((sum, model) => sum + extraOf(model), 0);
  const spare = Math.max(0, (1 - FREE_SHARE) * tokensPerSecond - wanted);
  const part = extra > spare ? spare / extra : 1;
  return new Map(models.map((model) => [model.name, model.demand + part * extraOf(model)]));
}
