import verror from 'verror';
import type { Outcome } from './outcome.js';
import { refusalCodes } from './refusal-code.js';
import type { RefusalCode } from './refusal-code.js';

interface RefusalOptions {
  readonly code: RefusalCode;
  /** What is known about effects; `not-run` is a promise. */
  readonly outcome: Outcome;
  readonly cause?: Error;
  /** When a repeat makes sense, in milliseconds from now. */
  readonly retryAfterMs?: number;
}

/** A request that was refused or failed, with what is known of its effect. */
export class RefusalError extends verror.VError {
  readonly code: RefusalCode;
  readonly outcome: Outcome;
  readonly retryAfterMs: number | undefined;

  /**
   * @param options - code, outcome and cause
   * @param message - one short sentence
   */
  constructor(options: RefusalOptions, message: string) {
    super({ name: 'RefusalError', cause: options.cause }, '%s', message);
    this.code = options.code;
    this.outcome = options.outcome;
    this.retryAfterMs = options.retryAfterMs;
  }

  /** HTTP status of the refusal. */
  get status(): number {
    return refusalCodes[this.code].status;
  }

  /** What the caller can do about it. */
  get mend(): string {
    return refusalCodes[this.code].mend;
  }
}
