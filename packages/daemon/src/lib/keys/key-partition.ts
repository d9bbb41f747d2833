import { KeyHome } from '@chervilseam/decisions';
import type { KeyClaim, KeyVerdict } from '@chervilseam/decisions';
import type { LogPort } from '@chervilseam/ports';
import { JournalRunner } from '../platform/journal-runner.js';

interface KeyPartitionOptions {
  readonly log: LogPort;
  readonly name: string;
  readonly stream: string;
  readonly home: ConstructorParameters<typeof KeyHome>[1];
  readonly nowMs: () => number;
  readonly onAppend: (stream: string) => void;
}

/** The keys of one partition, decided through the log. */
export class KeyPartition {
  readonly #home: KeyHome;
  readonly #runner: JournalRunner;
  readonly #waiting = new Map<string, (verdict: KeyVerdict) => void>();

  /** @param options - log, stream and rates */
  constructor(options: KeyPartitionOptions) {
    const { log, stream, nowMs, onAppend } = options;
    this.#home = new KeyHome(options.name, options.home);
    const onStep = (): void => this.#answer();
    this.#runner = new JournalRunner({ log, stream, user: this.#home, nowMs, onStep, onAppend });
  }

  /** Entries that wait for the log; a count. */
  get pendingCount(): number {
    return this.#home.pendingCount;
  }

  /**
   * @param claim - a wish to run an attempt
   * @returns the verdict
   */
  claim(claim: KeyClaim): Promise<KeyVerdict> {
    return new Promise((resolve) => {
      this.#waiting.set(claim.attempt, resolve);
      this.#home.claim(claim);
      this.#answer();
      this.pump();
    });
  }

  /** @param settlement - an outcome, or a release */
  settle(settlement: Parameters<KeyHome['settle']>[0]): void {
    this.#home.settle(settlement);
    this.pump();
  }

  /** Goes on with what waits for the log. */
  pump(): void {
    void this.#runner.pump();
  }

  #answer(): void {
    this.#home.takeAnswers().forEach(({ attempt, verdict }) => {
      this.#waiting.get(attempt)?.(verdict);
      this.#waiting.delete(attempt);
    });
  }
}
