/** Number of loads that the weight store allows in a window in addition to its rate. */
const STORE_LOAD_BURST = 3;
/**
 * Fraction of the weight store's limit that is used. The rest allows for loads that an owner began
 * just before it failed, which the other instances do not know of.
 */
const STORE_LIMIT_SHARE = 0.8;
/**
 * Fraction of the used part of that limit that is reserved for models with more demand than their
 * engines can serve. A low-priority load cannot use it.
 */
const STORE_RESERVE_SHARE = 0.4;
/**
 * Time from the plan of a load until its order, in milliseconds: a load in progress that ends by then does
 * not slow it down.
 */
const ORDER_DELAY_MS = 350;
/** Least share of the loads at a time that the rate suggests, however many were late. */
const LEARNED_SHARE_MIN = 0.5;
const MS_PER_SECOND = 1_000;

/** A load from the weight store that could begin, and the loads before it. */
interface LoadCase {
  /** Number of loads per second that the store sustains. */
  readonly storeLoadsPerSecond: number;
  /** Window in which loads are counted against the store's limit, in milliseconds. */
  readonly windowMs: number;
  /** Factor on the number of loads that the limit allows in a window. */
  readonly slackRatio: number;
  /** Duration of the load if the store is not busy, in milliseconds. */
  readonly loadMs: number;
  readonly isLowPriority: boolean;
  /** Largest number of loads at a time at which none took longer than expected; unlimited by default. */
  readonly countMax?: number;
  /** Whether nothing is lost yet if it begins later: another load that may be asked for goes before it. */
  readonly canBeLate?: boolean;
  /** Time since each recent load began, in milliseconds. */
  readonly agesMs: readonly number[];
  /** Time until each load that is planned or in progress is done, in milliseconds. */
  readonly remainingMs: readonly number[];
}

// Time until fewer than `countMax` (at least 1) of some times are left, in milliseconds.
const untilFewerMs = (leftMs: readonly number[], countMax: number): number =>
  Math.max(0, [...leftMs].sort((left, right) => right - left)[countMax - 1] ?? 0);

/**
 * Limits loads to what the weight store sustains: to its rate over a window, and to a number at a time, as more
 * would only slow each of them down.
 *
 * @param load - the load, and those before it
 * @returns time until the load may begin, in milliseconds; 0 if it may begin now
 */
export function loadDelayMs(load: LoadCase): number {
  const { storeLoadsPerSecond, windowMs, slackRatio, loadMs, agesMs, remainingMs } = load;
  const sustained = (storeLoadsPerSecond * windowMs * slackRatio) / MS_PER_SECOND;
  const allowed = Math.floor((sustained + STORE_LOAD_BURST) * STORE_LIMIT_SHARE);
  const usable = load.isLowPriority ? Math.ceil(allowed * (1 - STORE_RESERVE_SHARE)) : allowed;
  const inWindowMs = agesMs.map((ageMs) => windowMs - ageMs);
  const nominalMax = Math.floor((storeLoadsPerSecond * loadMs) / MS_PER_SECOND);
  const learnedMax = Math.max(
    Math.floor(LEARNED_SHARE_MIN * nominalMax),
    load.countMax ?? Infinity,
  );
  const sustainedAtOnce = Math.min(nominalMax, learnedMax);
  const atOnceMax = load.canBeLate ? sustainedAtOnce - 1 : sustainedAtOnce;
  const besideMs = remainingMs.map((leftMs) => leftMs - ORDER_DELAY_MS);
  return Math.max(
    untilFewerMs(inWindowMs, Math.max(1, usable)),
    untilFewerMs(besideMs, Math.max(1, atOnceMax)),
  );
}
