import { DemandEstimate } from '@chervilseam/decisions';

/** Assumed number of tokens per request. */
const TOKENS_PER_REQUEST = 100;
/** Interval of reports of all models, in milliseconds. */
const FULL_REPORT_INTERVAL_MS = 180_000;
/** Minimum interval of reports of changed models, in milliseconds. */
const CHANGE_REPORT_INTERVAL_MS = 2_000;
/**
 * Minimum interval of reports of changed models, per instance of the failure domain, in
 * milliseconds. Each instance reads the reports of all others, so larger domains report less often.
 */
const CHANGE_REPORT_INTERVAL_MS_PER_INSTANCE = 100;
/**
 * Demand counts as changed when the higher of its old and new value exceeds the lower one times this
 * factor plus {@link TOKENS_PER_REQUEST}.
 */
const CHANGE_FACTOR = 1.5;
const MS_PER_SECOND = 1_000;

/** Demand to report, in tokens per second by model. */
interface DemandReport {
  /** Whether it covers all models; otherwise only those whose demand has changed. */
  readonly isWhole: boolean;
  readonly tokensPerSecond: Readonly<Record<string, number>>;
}

/** Measures the demand for each model at this instance and decides when to report it on the log. */
export class DemandMeter {
  readonly #estimate = new DemandEstimate();
  /** Number of requests since the start of the window, by model. */
  #requestCounts = new Map<string, number>();
  #windowStartMs: number;
  #lastFullReportMs = -Infinity;
  #lastChangeReportMs = -Infinity;
  /** Demand as last reported, in tokens per second by model. */
  #reported: Readonly<Record<string, number>> = {};

  /** @param nowMs - monotonic clock, in milliseconds */
  constructor(nowMs: number) {
    this.#windowStartMs = nowMs;
  }

  /**
   * Counts a request, whether or not it was served.
   *
   * @param model - the model that it asked for
   */
  countRequest(model: string): void {
    this.#requestCounts.set(model, (this.#requestCounts.get(model) ?? 0) + 1);
  }

  /**
   * Updates the estimate once the current window has lasted at least 1 s, and starts a new window.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @param instances - number of instances that read the reports
   * @returns the report to append to the log, or `undefined` when none is due
   */
  tick(nowMs: number, instances: number): DemandReport | undefined {
    const durationMs = nowMs - this.#windowStartMs;
    if (durationMs < MS_PER_SECOND) return undefined;
    const seconds = durationMs / MS_PER_SECOND;
    const rates = [...this.#requestCounts].map(
      ([model, requests]) => [model, (requests * TOKENS_PER_REQUEST) / seconds] as const,
    );
    this.#estimate.observe(new Map(rates), durationMs);
    this.#requestCounts = new Map();
    this.#windowStartMs = nowMs;
    const changeIntervalMs = Math.max(
      CHANGE_REPORT_INTERVAL_MS,
      instances * CHANGE_REPORT_INTERVAL_MS_PER_INSTANCE,
    );
    return this.#dueReport(nowMs, changeIntervalMs);
  }

  // Every instance of the failure domain reads every report. Between full reports, only the models
  // whose demand has changed are therefore reported.
  #dueReport(nowMs: number, changeIntervalMs: number): DemandReport | undefined {
    const current = Object.fromEntries(
      [...this.#estimate.byModel].map(([model, tokens]) => [model, Math.round(tokens)]),
    );
    const ageMs = nowMs - this.#lastFullReportMs;
    const hasDemand = Object.values({ ...this.#reported, ...current }).some((tokens) => tokens > 0);
    if (ageMs >= FULL_REPORT_INTERVAL_MS && hasDemand) {
      this.#lastFullReportMs = nowMs;
      this.#reported = current;
      return { isWhole: true, tokensPerSecond: current };
    }
    if (nowMs - this.#lastChangeReportMs < changeIntervalMs) return undefined;
    const changed = Object.entries(current).filter(([model, tokens]) =>
      this.#hasChanged(model, tokens),
    );
    if (changed.length === 0) return undefined;
    this.#lastChangeReportMs = nowMs;
    const tokensPerSecond = Object.fromEntries(changed);
    this.#reported = { ...this.#reported, ...tokensPerSecond };
    return { isWhole: false, tokensPerSecond };
  }

  #hasChanged(model: string, tokens: number): boolean {
    const reported = this.#reported[model] ?? 0;
    const [less, more] = tokens < reported ? [tokens, reported] : [reported, tokens];
    return more > less * CHANGE_FACTOR + TOKENS_PER_REQUEST;
  }
}
