/** A model with its demand and whether it is latency-critical. */
interface ForecastModel {
  readonly name: string;
  /** Requested tokens per second. */
  readonly demand: number;
  /** Whether the model is latency-critical: its callers need an answer sooner than a load takes. */
  readonly isCritical: boolean;
}

/**
 * Share of the largest latency-critical demand that any rising latency-critical model is expected
 * to reach.
 */
const EXPECTED_RISE_SHARE = 0.75;
/**
 * Demand below this share of the largest latency-critical demand counts as stray requests, not as a
 * rise.
 */
const RISING_SHARE_MIN = 0.01;
/** Share of the engines' tokens that is left free for demand that the forecast misses. */
const RESERVE_SHARE = 0.15;

/**
 * Forecasts the demand at the time when a load that starts now is done. Demand shifts between
 * models within seconds, and the next busy model is one that callers have already begun to request.
 * Each such model therefore gets engines in advance, as far as the present demand leaves engines
 * idle. Latency-tolerant models get none in advance.
 *
 * @param models - models with their demand
 * @param tokensPerSecond - tokens per second that all engines together can process
 * @returns tokens per second to prepare for, by model; never less than the present demand
 */
export function forecastDemand(
  models: readonly ForecastModel[],
  tokensPerSecond: number,
): Map<string, number> {
  const largest = Math.max(0, ...models.map(({ demand, isCritical }) => (isCritical ? demand : 0)));
  const isRising = ({ demand, isCritical }: ForecastModel): boolean =>
    isCritical && demand > RISING_SHARE_MIN * largest;
  const expectedExtraOf = (model: ForecastModel): number =>
    isRising(model) ? Math.max(0, EXPECTED_RISE_SHARE * largest - model.demand) : 0;
  const requested = models.reduce((sum, { demand }) => sum + demand, 0);
  const expectedExtra = models.reduce((sum, model) => sum + expectedExtraOf(model), 0);
  const spare = Math.max(0, (1 - RESERVE_SHARE) * tokensPerSecond - requested);
  const coveredShare = expectedExtra > spare ? spare / expectedExtra : 1;
  return new Map(
    models.map((model) => [model.name, model.demand + coveredShare * expectedExtraOf(model)]),
  );
}
