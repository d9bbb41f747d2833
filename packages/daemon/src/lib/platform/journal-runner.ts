import type { LogPort } from '@chervilseam/ports';

const READ_COUNT = 500;

type Page = Awaited<ReturnType<LogPort['read']>>;

type Action =
  | { readonly type: 'append'; readonly values: readonly unknown[] }
  | { readonly type: 'read'; readonly fromOffset: number };

/** A decision part that works through one stream of the log. */
interface JournalUser {
  next(nowMs: number): Action | undefined;
  onAppended(firstOffset: number): void;
  onAppendFailed(): void;
  onRead(page: Page): void;
  onReadFailed(): void;
}

interface JournalRunnerOptions {
  readonly log: LogPort;
  readonly stream: string;
  readonly user: JournalUser;
  readonly nowMs: () => number;
  /** Called after each call to the log. */
  readonly onStep: () => void;
  readonly onAppend: (stream: string) => void;
}

/** Makes the calls to the log that a decision part asks for, one at a time. */
export class JournalRunner {
  readonly #options: JournalRunnerOptions;
  #isRunning = false;

  /** @param options - the log, the stream and the part that decides */
  constructor(options: JournalRunnerOptions) {
    this.#options = options;
  }

  /** Makes calls until none is asked for. */
  async pump(): Promise<void> {
    if (this.#isRunning) return;
    this.#isRunning = true;
    const { user, nowMs, onStep } = this.#options;
    for (let action = user.next(nowMs()); action; action = user.next(nowMs())) {
      // eslint-disable-next-line no-await-in-loop -- calls follow one another
      await this.#run(action);
      onStep();
    }
    this.#isRunning = false;
  }

  async #run(action: Action): Promise<void> {
    if (action.type === 'append') await this.#append(action.values);
    else await this.#read(action.fromOffset);
  }

  async #append(values: readonly unknown[]): Promise<void> {
    const { log, stream, user, onAppend } = this.#options;
    onAppend(stream);
    try {
      user.onAppended(await log.append(stream, values));
    } catch {
      user.onAppendFailed();
    }
  }

  async #read(fromOffset: number): Promise<void> {
    const { log, stream, user } = this.#options;
    let page: Page;
    try {
      page = await log.read(stream, fromOffset, READ_COUNT);
    } catch {
      user.onReadFailed();
      return;
    }
    user.onRead(page);
  }
}
