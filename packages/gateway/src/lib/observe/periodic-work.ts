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

/**
 * Runs the parts of an instance's periodic work, and logs which of them held up the event loop. A part that
 * throws does not keep the others from running.
 */
export class PeriodicWork {
  readonly #context: PeriodicWorkContext;
  #loggedMs = -Infinity;
  /** When a failure of each part was last logged, in milliseconds. */
  readonly #failedMs = new Map<string, number>();

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
      this.#runPart(name, part);
      const durationMs = nowMs() - partStartMs;
      partStartMs += durationMs;
      return [name, Math.round(durationMs)] as const;
    });
    if (partStartMs - startMs > SLOW_MS) this.#log(durationsMs, partStartMs - startMs);
  }

  #runPart(name: string, part: () => void): void {
    try {
      part();
    } catch (error) {
      const { nowMs, logger } = this.#context;
      if (nowMs() < (this.#failedMs.get(name) ?? -Infinity) + LOG_INTERVAL_MS) return;
      this.#failedMs.set(name, nowMs());
      const { message, stack } = error as Error;
      logger.error('work_failed', 'a part of the periodic work failed', { name, message, stack });
    }
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
