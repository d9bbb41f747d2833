import type { SimRequest } from './sim-request.js';

const FIRST_TOKEN_TARGET_MS = 1_400;
const SLOW_TOKEN_SHARE_MAX = 0.05;

/** Figures of the requests of a run. */
interface RunMeasure {
  /** Share of requests that attained. */
  readonly attainment: number;
  /** Share of counter callers' requests that attained. */
  readonly counterAttainment: number;
  /** Requests that attained, a second. */
  readonly goodputPerSecond: number;
  /** Time from arrival to refusal, 99 in 100, in milliseconds. */
  readonly refusalP99Ms: number;
  readonly refusedShare: number;
  /** Time to the first token, 99 in 100, in milliseconds. */
  readonly firstTokenP99Ms: number;
  /** Time of a whole request for each of its tokens, 99 in 100, in milliseconds. */
  readonly paceP99Ms: number;
  readonly moves: number;
}

const attained = ({ arrivedMs, firstTokenMs, doneMs, slowTokens, tokens }: SimRequest): boolean =>
  firstTokenMs !== undefined &&
  doneMs !== undefined &&
  firstTokenMs - arrivedMs <= FIRST_TOKEN_TARGET_MS &&
  slowTokens <= Math.max(1, tokens * SLOW_TOKEN_SHARE_MAX);

const share = (count: number, total: number): number => (total === 0 ? 1 : count / total);

/**
 * Reads a percentile.
 *
 * @param values - the values, in any order
 * @param part - such as 0.99
 * @returns the value, or 0 when there are none
 */
function percentile(values: readonly number[], part: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))];
}

/**
 * Measures a run.
 *
 * @param requests - requests that arrived in the time that counts, all of them over
 * @param durationMs - that time, in milliseconds
 * @returns the figures
 */
export function measureRun(requests: readonly SimRequest[], durationMs: number): RunMeasure {
  const good = requests.filter(attained);
  const counter = requests.filter(({ isCounter }) => isCounter);
  const refused = requests.filter(({ refusedMs }) => refusedMs !== undefined);
  const done = requests.filter(({ doneMs }) => doneMs !== undefined);
  const waits = refused.map(({ refusedMs, arrivedMs }) => (refusedMs as number) - arrivedMs);
  const firsts = done.map(({ firstTokenMs, arrivedMs }) => (firstTokenMs as number) - arrivedMs);
  const paces = done.map(
    ({ doneMs, arrivedMs, tokens }) => ((doneMs as number) - arrivedMs) / tokens,
  );
  return {
    attainment: share(good.length, requests.length),
    counterAttainment: share(good.filter(({ isCounter }) => isCounter).length, counter.length),
    goodputPerSecond: (good.length / durationMs) * 1_000,
    refusalP99Ms: percentile(waits, 0.99),
    refusedShare: share(refused.length, requests.length),
    firstTokenP99Ms: percentile(firsts, 0.99),
    paceP99Ms: percentile(paces, 0.99),
    moves: requests.reduce((sum, { moves }) => sum + moves, 0),
  };
}
