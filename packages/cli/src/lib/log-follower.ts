import { ConfigFold } from '@chervilseam/decisions';
import type { ConfigDecision, ConfigRecord } from '@chervilseam/decisions';
import type { LogPort } from '@chervilseam/ports';
import verror from 'verror';

const STREAM = 'config';
const PAGE_COUNT = 500;

/** Folds the configuration stream, as every instance does. */
export class LogFollower {
  readonly #log: LogPort;
  #fold = new ConfigFold();

  /** @param log - the platform's log */
  constructor(log: LogPort) {
    this.#log = log;
  }

  /** The fold of all that has been read. */
  get fold(): ConfigFold {
    return this.#fold;
  }

  /**
   * Reads to the end of the stream.
   *
   * @throws VError named `LogGapError` when records are gone and no snapshot covers them
   */
  async catchUp(): Promise<void> {
    for (;;) {
      // eslint-disable-next-line no-await-in-loop -- pages follow one another
      const page = await this.#log.read(STREAM, this.#fold.offset + 1, PAGE_COUNT);
      page.records.forEach(({ offset, value }) => this.#take(offset, value));
      const isWhole = this.#fold.offset === page.nextOffset - 1;
      if (isWhole) return;
      if (page.records.length < PAGE_COUNT) {
        throw new verror.VError({ name: 'LogGapError' }, 'the log has a gap that nothing covers');
      }
    }
  }

  /**
   * Appends a record and reads on until its decision is known, so that a lost answer of the log is
   * resolved by reading and never by assuming.
   *
   * @param record - the record
   * @returns what the fold made of it
   * @throws the log's error when the record cannot be found after all tries
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
    throw new verror.VError({ name: 'UnpublishedError', cause: failure }, 'nothing was published');
  }

  #take(offset: number, value: unknown): void {
    const { type, snapshot } = (value ?? {}) as Partial<ConfigRecord & { type: 'snapshot' }>;
    const isAhead = offset > this.#fold.offset + 1;
    if (isAhead && type === 'snapshot' && snapshot) {
      this.#fold = ConfigFold.fromSnapshot(snapshot) ?? this.#fold;
    }
    if (offset === this.#fold.offset + 1) this.#fold.apply(offset, value);
  }
}
