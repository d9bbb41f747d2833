import { ConfigFold, ConfigView, SnapshotTimer } from '@chervilseam/decisions';
import type { ConfigDecision, ConfigSnapshot } from '@chervilseam/decisions';
import type { LogPort } from '@chervilseam/ports';
import type { PartLogger } from '@chervilseam/observe';
import type { Metrics } from '../observe/metrics.js';

/** Name of the log stream of the configuration. */
const STREAM = 'config';
/** Maximum number of records per read. */
const READ_RECORD_COUNT_MAX = 500;

/** Dependencies of the configuration sync. */
interface ConfigSyncContext {
  readonly log: LogPort;
  readonly logger: PartLogger;
  readonly metrics: Metrics;
  /** How long the log keeps records, in milliseconds. */
  readonly logRetentionMs: number;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
  /** @returns a random number from 0 (inclusive) to 1 (exclusive) */
  readonly randomUnit: () => number;
  /**
   * Fetches the configuration of a random other instance.
   *
   * @returns a snapshot, or `undefined` when no other instance is known or the one asked has no
   *   offset above `fromOffset`
   */
  readonly fetchFromPeer: (fromOffset: number) => Promise<ConfigSnapshot | undefined>;
}

/**
 * Keeps the configuration of this instance up to date: from its stream of the log, or from other
 * instances while the log is unreachable or has lost records.
 */
export class ConfigSync {
  readonly #context: ConfigSyncContext;
  #fold = new ConfigFold();
  #view = new ConfigView(0, new Map());
  readonly #snapshots: SnapshotTimer;
  #isLogDown = false;
  #isPolling = false;
  #logFirstOffset = 1;

  /** @param context - dependencies of the sync */
  constructor(context: ConfigSyncContext) {
    this.#context = context;
    const { logRetentionMs, randomUnit, nowMs } = context;
    this.#snapshots = new SnapshotTimer(logRetentionMs, randomUnit, nowMs());
  }

  /** The configuration in force. */
  get view(): ConfigView {
    return this.#view;
  }

  /** The state folded from the log records, from which the configuration in force is built. */
  get fold(): ConfigFold {
    return this.#fold;
  }

  /** Whether the last poll failed to read or append to the log. */
  get isLogDown(): boolean {
    return this.#isLogDown;
  }

  /** Whether any configuration has been read, from the log or another instance. */
  get isReady(): boolean {
    return this.#fold.offset > 0;
  }

  /** Oldest offset that the log kept at the last read. */
  get logFirstOffset(): number {
    return this.#logFirstOffset;
  }

  /**
   * Reads new records from the log and writes a snapshot if one is due; asks another instance if
   * the log is unreachable. Does nothing while an earlier poll is running.
   */
  async poll(): Promise<void> {
    if (this.#isPolling) return;
    this.#isPolling = true;
    try {
      await this.#readLog();
      await this.#snapshotIfDue();
      this.#setLogDown(false);
    } catch {
      this.#setLogDown(true);
      await this.#readPeer();
    } finally {
      this.#isPolling = false;
    }
  }

  /**
   * Replaces the configuration by a snapshot if that is newer and intact.
   *
   * @param snapshot - a snapshot from another instance or the log
   * @returns whether the configuration was replaced
   */
  adopt(snapshot: ConfigSnapshot): boolean {
    if (snapshot.offset === this.#fold.offset && snapshot.chain !== this.#fold.chain) {
      this.#alarm(
        'config_diverged',
        'Another instance has a different configuration at the same log offset',
      );
      return false;
    }
    // The offset of the configuration in force must never decrease.
    if (snapshot.offset <= this.#fold.offset) return false;
    const fold = ConfigFold.fromSnapshot(snapshot);
    if (!fold) {
      this.#alarm('config_digest', 'Dropped a configuration snapshot whose digest does not match');
      return false;
    }
    this.#fold = fold;
    this.#publish();
    return true;
  }

  async #readLog(): Promise<void> {
    for (;;) {
      // eslint-disable-next-line no-await-in-loop -- each page starts where the last one ended
      const page = await this.#context.log.read(
        STREAM,
        this.#fold.offset + 1,
        READ_RECORD_COUNT_MAX,
      );
      this.#logFirstOffset = page.firstOffset;
      if (page.nextOffset <= this.#fold.offset) {
        this.#alarm(
          'log_went_back',
          'The log ends before an offset that was read already; keeping the configuration in force',
        );
        return;
      }
      if (page.records.length === 0) return;
      const before = this.#fold.offset;
      this.#foldPage(page);
      if (this.#fold.offset === before) {
        this.#alarm(
          'config_gap',
          'Unread configuration records have expired from the log and no snapshot covers them',
        );
        // eslint-disable-next-line no-await-in-loop -- the loop ends here
        await this.#readPeer();
        return;
      }
      if (page.records.length < READ_RECORD_COUNT_MAX) return;
    }
  }

  // Records of the log expire, so a snapshot that covers them has to be written before they do.
  async #snapshotIfDue(): Promise<void> {
    const { log, nowMs, metrics, logger } = this.#context;
    if (!this.isReady || !this.#snapshots.isDue(nowMs())) return;
    const snapshot = this.#fold.snapshot();
    metrics.logAppends.inc({ stream: STREAM });
    await log.append(STREAM, [{ type: 'snapshot', snapshot }]);
    logger.info('config_snapshot', 'Wrote a snapshot of the configuration to the log.', {
      offset: snapshot.offset,
    });
  }

  #foldPage({ records }: Awaited<ReturnType<LogPort['read']>>): void {
    const decisions: ConfigDecision[] = [];
    records.forEach(({ offset, value }) => {
      const { type } = (value ?? {}) as { type?: string };
      if (type === 'snapshot') this.#snapshots.restart(this.#context.nowMs());
      this.#skipGapBySnapshot(offset, value);
      if (offset !== this.#fold.offset + 1) return;
      const decision = this.#fold.apply(offset, value);
      if (decision) decisions.push(decision);
    });
    if (records.length > 0) this.#publish();
    decisions.forEach((decision) => this.#report(decision));
  }

  // A snapshot on the log that covers expired records replaces the state, so that the records after
  // it can be folded.
  #skipGapBySnapshot(offset: number, value: unknown): void {
    const { type, snapshot } = (value ?? {}) as { type?: string; snapshot?: ConfigSnapshot };
    if (type !== 'snapshot' || !snapshot || offset <= this.#fold.offset + 1) return;
    this.adopt(snapshot);
  }

  async #readPeer(): Promise<void> {
    try {
      const snapshot = await this.#context.fetchFromPeer(this.#fold.offset);
      if (snapshot) this.adopt(snapshot);
    } catch {
      // No other instance is reachable either: the configuration in force stays.
    }
  }

  #publish(): void {
    this.#view = new ConfigView(this.#fold.offset, this.#fold.objects);
    this.#context.metrics.configOffset.set(this.#fold.offset);
  }

  #report(decision: ConfigDecision): void {
    const { offset, id, author, isAccepted, reason, keys } = decision;
    const text = isAccepted
      ? 'A configuration change is in force.'
      : 'A configuration change was rejected.';
    const event = isAccepted ? 'config_in_force' : 'config_rejected';
    this.#context.logger.info(event, text, { offset, id, author, reason, keys });
  }

  #setLogDown(isDown: boolean): void {
    if (isDown !== this.#isLogDown) {
      const text = isDown
        ? 'The platform log is unreachable.'
        : 'The platform log is reachable again.';
      this.#context.logger.warn(isDown ? 'log_down' : 'log_up', text);
    }
    this.#isLogDown = isDown;
    this.#context.metrics.platformDown.set({ service: 'log' }, isDown ? 1 : 0);
  }

  #alarm(code: string, text: string): void {
    this.#context.metrics.alarms.inc({ code });
    this.#context.logger.error(code, `${text}.`);
  }
}
