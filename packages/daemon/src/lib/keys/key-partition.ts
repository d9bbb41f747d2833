import { KeyHome } from '@chervilseam/decisions';
import type { KeyClaim, KeyVerdict } from '@chervilseam/decisions';
import type { LogPort } from '@chervilseam/ports';
import { JournalRunner } from '../platform/journal-runner.js';

interface KeyPartitionOptions {
  readonly log: LogPort;
  /** Unique name of this home of the partition: the instance's boot id and the partition's number. */
  readonly name: string;
  /** Name of the partition's log stream. */
  readonly stream: string;
  /** Retention of keys, rates of appends and snapshots. */
  readonly home: ConstructorParameters<typeof KeyHome>[1];
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
  /** Called before each append. */
  readonly onAppend: (stream: string) => void;
}

/** Decides claims of the idempotency keys of one partition by their order in its log stream. */
export class KeyPartition {
  readonly #home: KeyHome;
  readonly #runner: JournalRunner;
  /** Functions that resolve the promises of claims without a verdict, by attempt id. */
  readonly #resolvers = new Map<string, (verdict: KeyVerdict) => void>();

  /** @param options - log stream and settings of the partition */
  constructor(options: KeyPartitionOptions) {
    const { log, stream, nowMs, onAppend } = options;
    this.#home = new KeyHome(options.name, options.home);
    const onCallDone = (): void => this.#resolveClaims();
    this.#runner = new JournalRunner({
      log,
      stream,
      journal: this.#home,
      nowMs,
      onCallDone,
      onAppend,
    });
  }

  /** Number of entries that are queued or not confirmed by the log yet. */
  get pendingCount(): number {
    return this.#home.pendingCount;
  }

  /**
   * @param claim - a request for permission to run an attempt
   * @returns the verdict, at the latest when the log has ordered the claim or could not be read
   */
  claim(claim: KeyClaim): Promise<KeyVerdict> {
    return new Promise((resolve) => {
      this.#resolvers.set(claim.attempt, resolve);
      this.#home.claim(claim);
      this.#resolveClaims();
      this.pump();
    });
  }

  /**
   * Records on the log how an attempt ended.
   *
   * @param settlement - the outcome, or a release of an attempt that never ran
   */
  settle(settlement: Parameters<KeyHome['settle']>[0]): void {
    this.#home.settle(settlement);
    this.pump();
  }

  /** Makes the log calls that are due. */
  pump(): void {
    void this.#runner.pump();
  }

  #resolveClaims(): void {
    this.#home.takeAnswers().forEach(({ attempt, verdict }) => {
      this.#resolvers.get(attempt)?.(verdict);
      this.#resolvers.delete(attempt);
    });
  }
}
