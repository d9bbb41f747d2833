import { ConfigFold, ConfigView, SnapshotTimer } from '@chervilseam/decisions';
import type { ConfigDecision, ConfigSnapshot } from '@chervilseam/decisions';
import type { LogPort } from '@chervilseam/ports';
import type { PartLogger } from '@chervilseam/observe';
import type { Metrics } from '../observe/metrics.js';

const STREAM = 'config';
const PAGE_COUNT = 500;

/** What following the configuration needs around it. */
interface ConfigSyncContext {
  readonly log: LogPort;
  readonly logger: PartLogger;
  readonly metrics: Metrics;
  /** How long the log keeps records, in milliseconds. */
  readonly logRetentionMs: number;
  readonly nowMs: () => number;
  /** @returns a random number from 0 up to 1 */
  readonly randomUnit: () => number;
  /** @returns the state of some other instance, if one can be asked */
  readonly askPeer: (fromOffset: number) => Promise<ConfigSnapshot | undefined>;
}

/** Follows the configuration stream of the log; while the log is down, other instances. */
export class ConfigSync {
  readonly #context: ConfigSyncContext;
  #fold = new ConfigFold();
  #view = new ConfigView(0, new Map());
  readonly #snapshots: SnapshotTimer;
  #isLogDown = false;
  #isPolling = false;
  #logFirstOffset = 1;

  /** @param context - log, peers and metrics */
  constructor(context: ConfigSyncContext) {
    this.#context = context;
    const { logRetentionMs, randomUnit, nowMs } = context;
    this.#snapshots = new SnapshotTimer(logRetentionMs, randomUnit, nowMs());
  }

  /** The configuration in force. */
  get view(): ConfigView {
    return this.#view;
  }

  /** The fold behind the configuration in force. */
  get fold(): ConfigFold {
    return this.#fold;
  }

  /** Whether the last call to the log failed. */
  get isLogDown(): boolean {
    return this.#isLogDown;
  }

  /** Whether any configuration has been learned. */
  get isReady(): boolean {
    return this.#fold.offset > 0;
  }

  /** Oldest offset that the log still keeps, as last read. */
  get logFirstOffset(): number {
    return this.#logFirstOffset;
  }

  /** Reads what is new; one call runs at a time. */
  async poll(): Promise<void> {
    if (this.#isPolling) return;
    this.#isPolling = true;
    try {
      await this.#readLog();
      await this.#republishIfDue();
      this.#noteLog(false);
    } catch {
      this.#noteLog(true);
      await this.#readPeer();
    } finally {
      this.#isPolling = false;
    }
  }

  /**
   * Takes another instance's state if it is newer.
   *
   * @param snapshot - the other's state
   * @returns whether it was taken
   */
  adopt(snapshot: ConfigSnapshot): boolean {
    if (snapshot.offset === this.#fold.offset && snapshot.chain !== this.#fold.chain) {
      this.#alarm('config_diverged', 'another instance differs at the same offset');
      return false;
    }
    // A state only ever moves forward: an older one is no news, whoever sends it.
    if (snapshot.offset <= this.#fold.offset) return false;
    const fold = ConfigFold.fromSnapshot(snapshot);
    if (!fold) {
      this.#alarm('config_digest', 'a state with a wrong digest was dropped');
      return false;
    }
    this.#fold = fold;
    this.#publish();
    return true;
  }

  async #readLog(): Promise<void> {
    for (;;) {
      // Pages follow one another.
      // eslint-disable-next-line no-await-in-loop
      const page = await this.#context.log.read(STREAM, this.#fold.offset + 1, PAGE_COUNT);
      this.#logFirstOffset = page.firstOffset;
      if (page.nextOffset <= this.#fold.offset) {
        this.#alarm('log_went_back', 'the head of the log went backwards; keeping our state');
        return;
      }
      if (page.records.length === 0) return;
      const before = this.#fold.offset;
      this.#foldPage(page);
      if (this.#fold.offset === before) {
        this.#alarm('config_gap', 'records are gone from the log and no snapshot covers them');
        // eslint-disable-next-line no-await-in-loop -- the last thing that is tried
        await this.#readPeer();
        return;
      }
      if (page.records.length < PAGE_COUNT) return;
    }
  }

  // Records expire; the state must stand on the log again before they do.
  async #republishIfDue(): Promise<void> {
    const { log, nowMs, metrics, logger } = this.#context;
    if (!this.isReady || !this.#snapshots.isDue(nowMs())) return;
    const snapshot = this.#fold.snapshot();
    metrics.logAppends.inc({ stream: STREAM });
    await log.append(STREAM, [{ type: 'snapshot', snapshot }]);
    logger.info('config_snapshot', 'The state was put on the log again.', {
      offset: snapshot.offset,
    });
  }

  #foldPage({ records }: Awaited<ReturnType<LogPort['read']>>): void {
    const decisions: ConfigDecision[] = [];
    records.forEach(({ offset, value }) => {
      const { type } = (value ?? {}) as { type?: string };
      if (type === 'snapshot') this.#snapshots.restart(this.#context.nowMs());
      this.#skipGap(offset, value);
      if (offset !== this.#fold.offset + 1) return;
      const decision = this.#fold.apply(offset, value);
      if (decision) decisions.push(decision);
    });
    if (records.length > 0) this.#publish();
    decisions.forEach((decision) => this.#report(decision));
  }

  // Where the oldest records are gone, a snapshot that covers them is the way across.
  #skipGap(offset: number, value: unknown): void {
    const { type, snapshot } = (value ?? {}) as { type?: string; snapshot?: ConfigSnapshot };
    if (type !== 'snapshot' || !snapshot || offset <= this.#fold.offset + 1) return;
    this.adopt(snapshot);
  }

  async #readPeer(): Promise<void> {
    try {
      const snapshot = await this.#context.askPeer(this.#fold.offset);
      if (snapshot) this.adopt(snapshot);
    } catch {
      // No peer can be reached either: what is in force stays in force.
    }
  }

  #publish(): void {
    this.#view = new ConfigView(this.#fold.offset, this.#fold.objects);
    this.#context.metrics.configOffset.set(this.#fold.offset);
  }

  #report(decision: ConfigDecision): void {
    const { offset, id, author, isAccepted, reason, keys } = decision;
    const text = isAccepted ? 'Configuration is in force.' : 'Configuration was rejected.';
    const event = isAccepted ? 'config_in_force' : 'config_rejected';
    this.#context.logger.info(event, text, { offset, id, author, reason, keys });
  }

  #noteLog(isDown: boolean): void {
    if (isDown !== this.#isLogDown) {
      const text = isDown ? 'The log cannot be reached.' : 'The log can be reached again.';
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
