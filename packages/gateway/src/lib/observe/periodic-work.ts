import type { PartLogger } from '@chervilseam/observe';

/** Work that takes longer than this holds up the requests of callers, in milliseconds. */
const SLOW_MS = 50;
/** Shortest time between two log lines, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** Dependencies of the periodic work. */
interface PeriodicWorkContext {
  readonly nowMs: () => number;
  readonly logger: PartLogger;
  /** Parts of the work by name, in the order in which they run. */
  readonly parts: Readonly<Record<string, () => void>>;
}

/** Runs the parts of an instance's periodic work, and logs which of them held up the event loop. */
export class PeriodicWork {
  readonly #context: PeriodicWorkContext;
  #loggedMs = -Infinity;

  /** @param context - the parts, and what they are measured with */
  constructor(context: PeriodicWorkContext) {
    this.#context = context;
  }

  /** Runs all parts once. */
  run(): void {
    const { nowMs, parts } = this.#context;
    const startMs = nowMs();
    let partStartMs = startMs;
    const durationsMs = Object.entries(parts).map(([name, part]) => {
      part();
      const durationMs = nowMs() - partStartMs;
      partStartMs += durationMs;
      return [name, Math.round(durationMs)] as const;
    });
    if (partStartMs - startMs > SLOW_MS) this.#log(durationsMs, partStartMs - startMs);
  }

  #log(durationsMs: readonly (readonly [string, number])[], totalMs: number): void {
    const { nowMs, logger } = this.#context;
    if (nowMs() < this.#loggedMs + LOG_INTERVAL_MS) return;
    this.#loggedMs = nowMs();
    logger.info('work_slow', 'the periodic work held up the event loop', {
      totalMs: Math.round(totalMs),
      partsMs: Object.fromEntries(durationsMs.filter(([, durationMs]) => durationMs > 0)),
    });
  }
}
