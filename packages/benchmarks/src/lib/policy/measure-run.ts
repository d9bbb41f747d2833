import type { SimRequest } from './sim-request.js';

/** Maximum time from arrival to the first token, in milliseconds. */
const FIRST_TOKEN_TARGET_MS = 1_400;
/**
 * Maximum share of a request's tokens that may be produced slower than the token target; one token
 * always may.
 */
const SLOW_TOKEN_SHARE_MAX = 0.05;

/**
 * Figures of the requests of a run. A request attains when it was answered completely, its
 * first token came in time, and at most a few of its tokens were slower than the target.
 */
interface RunMeasure {
  /** Share of requests that attained. */
  readonly attainment: number;
  /** Share of the order counters' requests that attained. */
  readonly counterAttainment: number;
  /** Number of requests that attained, per second. */
  readonly goodputPerSecond: number;
  /** 99th percentile of the time from arrival to refusal, in milliseconds. */
  readonly refusalP99Ms: number;
  /** Share of requests that were refused. */
  readonly refusedShare: number;
  /**
   * 99th percentile of the time from arrival to the first token of the completed requests, in
   * milliseconds.
   */
  readonly firstTokenP99Ms: number;
  /**
   * 99th percentile of the total time of the completed requests divided by their number of tokens, in
   * milliseconds.
   */
  readonly msPerTokenP99: number;
  /** Number of moves of running requests. */
  readonly moves: number;
}

const meetsTargets = ({
  arrivedMs,
  firstTokenMs,
  doneMs,
  slowTokens,
  tokens,
}: SimRequest): boolean =>
  firstTokenMs !== undefined &&
  doneMs !== undefined &&
  firstTokenMs - arrivedMs <= FIRST_TOKEN_TARGET_MS &&
  slowTokens <= Math.max(1, tokens * SLOW_TOKEN_SHARE_MAX);

const ratio = (count: number, total: number): number => (total === 0 ? 1 : count / total);

/**
 * Calculates a percentile.
 *
 * @param values - the values, in any order
 * @param fraction - the percentile as a fraction, such as 0.99
 * @returns the value, or 0 when there are none
 */
function percentile(values: readonly number[], fraction: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))];
}

/**
 * Calculates the figures of a run.
 *
 * @param requests - requests that arrived in the measured period; all of them have ended
 * @param durationMs - length of the period, in milliseconds
 * @returns the figures
 */
export function measureRun(requests: readonly SimRequest[], durationMs: number): RunMeasure {
  const onTarget = requests.filter(meetsTargets);
  const fromCounters = requests.filter(({ isCounter }) => isCounter);
  const refused = requests.filter(({ refusedMs }) => refusedMs !== undefined);
  const done = requests.filter(({ doneMs }) => doneMs !== undefined);
  const refusalDelays = refused.map(
    ({ refusedMs, arrivedMs }) => (refusedMs as number) - arrivedMs,
  );
  const firstTokenDelays = done.map(
    ({ firstTokenMs, arrivedMs }) => (firstTokenMs as number) - arrivedMs,
  );
  const msPerToken = done.map(
    ({ doneMs, arrivedMs, tokens }) => ((doneMs as number) - arrivedMs) / tokens,
  );
  return {
    attainment: ratio(onTarget.length, requests.length),
    counterAttainment: ratio(
      onTarget.filter(({ isCounter }) => isCounter).length,
      fromCounters.length,
    ),
    goodputPerSecond: (onTarget.length / durationMs) * 1_000,
    refusalP99Ms: percentile(refusalDelays, 0.99),
    refusedShare: ratio(refused.length, requests.length),
    firstTokenP99Ms: percentile(firstTokenDelays, 0.99),
    msPerTokenP99: percentile(msPerToken, 0.99),
    moves: requests.reduce((sum, { moves }) => sum + moves, 0),
  };
}
