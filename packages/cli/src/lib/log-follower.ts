import { ConfigFold } from '@chervilseam/decisions';
import type { ConfigDecision, ConfigRecord } from '@chervilseam/decisions';
import type { LogPort } from '@chervilseam/ports';
import verror from 'verror';

/** Stream of the configuration in the platform's log. */
const STREAM = 'config';
/** Number of records to ask for in one read. */
const PAGE_SIZE = 500;

/** Reads the configuration stream and folds its records, with the same result as at every instance. */
export class LogFollower {
  readonly #log: LogPort;
  #fold = new ConfigFold();

  /** @param log - the platform's log */
  constructor(log: LogPort) {
    this.#log = log;
  }

  /** The configuration after the last record that was read. */
  get fold(): ConfigFold {
    return this.#fold;
  }

  /**
   * Reads to the end of the stream.
   *
   * @throws VError named `LogGapError` when the log no longer has records that are needed and no later
   *   snapshot contains their effect
   * @throws the log's error when it cannot be read
   */
  async catchUp(): Promise<void> {
    for (;;) {
      // eslint-disable-next-line no-await-in-loop -- pages follow one another
      const page = await this.#log.read(STREAM, this.#fold.offset + 1, PAGE_SIZE);
      page.records.forEach(({ offset, value }) => this.#applyRecord(offset, value));
      const isAtEnd = this.#fold.offset === page.nextOffset - 1;
      if (isAtEnd) return;
      if (page.records.length < PAGE_SIZE) {
        throw new verror.VError(
          { name: 'LogGapError' },
          'records are missing from the configuration stream and no snapshot covers them',
        );
      }
    }
  }

  /**
   * Appends a record and reads the stream to its end to learn whether it was accepted. The stream also
   * decides when the append fails: the log may have stored the record although its answer was lost.
   *
   * @param record - the record
   * @returns the decision: whether the record was accepted, and if not, why
   * @throws VError named `UnpublishedError`, caused by the log's error, when the record is not in the
   *   stream
   * @throws the log's error when the stream cannot be read
   */
  async publish(record: ConfigRecord & { type: 'config' }): Promise<ConfigDecision> {
    let failure: Error | undefined;
    try {
      await this.#log.append(STREAM, [record]);
    } catch (error) {
      failure = error as Error;
    }
    await this.catchUp();
    const decision = this.#fold.history.find(({ id }) => id === record.id);
    if (decision) return decision;
    throw new verror.VError(
      { name: 'UnpublishedError', cause: failure },
      'the change is not in the log',
    );
  }

  /** Folds the next record; skips missing records when a snapshot covers them. */
  #applyRecord(offset: number, value: unknown): void {
    const { type, snapshot } = (value ?? {}) as Partial<ConfigRecord & { type: 'snapshot' }>;
    const isAhead = offset > this.#fold.offset + 1;
    if (isAhead && type === 'snapshot' && snapshot) {
      this.#fold = ConfigFold.fromSnapshot(snapshot) ?? this.#fold;
    }
    if (offset === this.#fold.offset + 1) this.#fold.apply(offset, value);
  }
}
