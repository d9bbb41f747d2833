import verror from 'verror';
import type { Outcome } from './outcome.js';
import { refusalCodes } from './refusal-code.js';
import type { RefusalCode } from './refusal-code.js';

interface RefusalOptions {
  readonly code: RefusalCode;
  /** Whether the request took effect; `not-run` guarantees that it did not. */
  readonly outcome: Outcome;
  readonly cause?: Error;
  /** Time after which the caller may repeat the request, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Reports that a request was refused or failed, and whether it may have taken effect. */
export class RefusalError extends verror.VError {
  readonly code: RefusalCode;
  readonly outcome: Outcome;
  readonly retryAfterMs: number | undefined;

  /**
   * @param options - code, outcome, cause and time to retry
   * @param message - a short sentence for the caller
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
