import type { LogPort } from '@chervilseam/ports';

/** Maximum number of records per read. */
const READ_RECORD_COUNT_MAX = 500;

type Page = Awaited<ReturnType<LogPort['read']>>;

type Action =
  | { readonly type: 'append'; readonly values: readonly unknown[] }
  | { readonly type: 'read'; readonly fromOffset: number };

/** Decides which calls to make to one stream of the log, and receives their results. */
interface JournalDecisions {
  /** @returns the next call, or `undefined` when none is due */
  next(nowMs: number): Action | undefined;
  onAppended(firstOffset: number): void;
  onAppendFailed(): void;
  onRead(page: Page): void;
  onReadFailed(): void;
}

interface JournalRunnerOptions {
  readonly log: LogPort;
  readonly stream: string;
  readonly journal: JournalDecisions;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
  /** Called after the result of each call to the log has been passed to the journal. */
  readonly onCallDone: () => void;
  /** Called before each append. */
  readonly onAppend: (stream: string) => void;
}

/** Makes the calls to the log that a journal decides on, one at a time. */
export class JournalRunner {
  readonly #options: JournalRunnerOptions;
  #isRunning = false;

  /** @param options - the log, the stream and the journal */
  constructor(options: JournalRunnerOptions) {
    this.#options = options;
  }

  /** Makes calls until none is due. Does nothing while an earlier call of `pump` is running. */
  async pump(): Promise<void> {
    if (this.#isRunning) return;
    this.#isRunning = true;
    const { journal, nowMs, onCallDone } = this.#options;
    for (let action = journal.next(nowMs()); action; action = journal.next(nowMs())) {
      // eslint-disable-next-line no-await-in-loop -- the next call depends on the result of this one
      await this.#run(action);
      onCallDone();
    }
    this.#isRunning = false;
  }

  async #run(action: Action): Promise<void> {
    if (action.type === 'append') await this.#append(action.values);
    else await this.#read(action.fromOffset);
  }

  async #append(values: readonly unknown[]): Promise<void> {
    const { log, stream, journal, onAppend } = this.#options;
    onAppend(stream);
    try {
      journal.onAppended(await log.append(stream, values));
    } catch {
      journal.onAppendFailed();
    }
  }

  async #read(fromOffset: number): Promise<void> {
    const { log, stream, journal } = this.#options;
    let page: Page;
    try {
      page = await log.read(stream, fromOffset, READ_RECORD_COUNT_MAX);
    } catch {
      journal.onReadFailed();
      return;
    }
    journal.onRead(page);
  }
}
