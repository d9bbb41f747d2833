import type { AnswerHead } from '../ports/answer-head.js';
import type { AttemptFailure } from './attempt-failure.js';

/** Hears what becomes of an attempt; the last call is one of `onEnd` and `onFail`. */
export interface AttemptListener {
  onHead(head: AnswerHead): void;
  /** @returns whether more may follow at once */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  onFail(failure: AttemptFailure): void;
}
