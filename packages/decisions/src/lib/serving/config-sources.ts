/** What an instance reported of the configuration in force there. */
interface ConfigReport {
  /** Address of the instance, as `host:port`. */
  readonly address: string;
  readonly version: number;
  /** Whether the instance is in the failure domain of this one. */
  readonly isLocal: boolean;
}

interface ConfigSource extends ConfigReport {
  readonly reportedMs: number;
  /** When a read from the instance last failed, in milliseconds. */
  readonly failedMs: number;
}

/** A report older than this says nothing of whether the instance can be reached, in milliseconds. */
const REPORT_TTL_MS = 2_000;
/** Time after a failed read in which other instances are preferred, in milliseconds. */
const FAILURE_MEMORY_MS = 2_000;

/** Instances that a newer configuration can be read from. */
export class ConfigSources {
  readonly #sources = new Map<string, ConfigSource>();
  #newestVersion = 0;

  /** The newest version that any instance has reported; 0 before the first report. */
  get newestVersion(): number {
    return this.#newestVersion;
  }

  /**
   * Records the version that another instance reports.
   *
   * @param report - the instance and its version
   * @param nowMs - monotonic clock, in milliseconds
   */
  report(report: ConfigReport, nowMs: number): void {
    const failedMs = this.#sources.get(report.address)?.failedMs ?? -Infinity;
    this.#sources.set(report.address, { ...report, reportedMs: nowMs, failedMs });
    this.#newestVersion = Math.max(this.#newestVersion, report.version);
  }

  /**
   * Records that a read from an instance failed.
   *
   * @param address - address of the instance
   * @param nowMs - monotonic clock, in milliseconds
   */
  markFailed(address: string, nowMs: number): void {
    const source = this.#sources.get(address);
    if (source) this.#sources.set(address, { ...source, failedMs: nowMs });
  }

  /**
   * Chooses the instance to read from: one without a recent failure, then one in the own failure domain.
   * Among equals the choice is random: instances that learn of a version at the same time, from the same
   * report, would otherwise all read it over the link of one.
   *
   * @param version - the version in force here
   * @param nowMs - monotonic clock, in milliseconds
   * @param randomUnit - a random number from 0 up to 1
   * @returns address of an instance with a newer version, or `undefined` when none is known
   */
  choose(version: number, nowMs: number, randomUnit: number): string | undefined {
    this.#removeExpired(nowMs);
    const rankOf = ({ isLocal, failedMs }: ConfigSource): number =>
      (nowMs < failedMs + FAILURE_MEMORY_MS ? 2 : 0) + (isLocal ? 0 : 1);
    const newer = [...this.#sources.values()].filter((source) => source.version > version);
    const rankMin = Math.min(...newer.map(rankOf));
    const best = newer.filter((source) => rankOf(source) === rankMin);
    return best.at(Math.floor(randomUnit * best.length))?.address;
  }

  #removeExpired(nowMs: number): void {
    this.#sources.forEach(({ reportedMs }, address) => {
      if (nowMs > reportedMs + REPORT_TTL_MS) this.#sources.delete(address);
    });
  }
}
