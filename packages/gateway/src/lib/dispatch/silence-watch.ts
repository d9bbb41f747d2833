import type { EventLoop } from '../observe/event-loop.js';

/** Reports when an attempt has brought nothing for too long. */
export class SilenceWatch {
  readonly #eventLoop: EventLoop;
  readonly #onSilent: () => void;
  #timer: NodeJS.Timeout | undefined;
  #refreshCount = 0;

  /**
   * @param eventLoop - whether an answer may have arrived and not have been read
   * @param onSilent - called when the time is over
   */
  constructor(eventLoop: EventLoop, onSilent: () => void) {
    this.#eventLoop = eventLoop;
    this.#onSilent = onSilent;
  }

  /** @param timeoutMs - time without a refresh after which the attempt counts as silent, in milliseconds */
  start(timeoutMs: number): void {
    this.stop();
    this.#timer = setTimeout(() => this.#onTimeout(), timeoutMs);
  }

  /** Begins the time anew. */
  refresh(): void {
    this.#refreshCount += 1;
    this.#timer?.refresh();
  }

  /** Ends the watch. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  #onTimeout(): void {
    if (!this.#eventLoop.isStalled) {
      this.#onSilent();
      return;
    }
    // The answer may have arrived during the stall and not have been read yet.
    const [timer, refreshCount] = [this.#timer, this.#refreshCount];
    this.#eventLoop.afterPoll(() => {
      if (timer === this.#timer && refreshCount === this.#refreshCount) this.#onSilent();
    });
  }
}
