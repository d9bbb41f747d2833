import type { AnswerHead } from '../ports/answer-head.js';
import type { AttemptFailure } from './attempt-failure.js';

/** Receives the answer of an attempt; the last call is `onEnd` or `onFail`. */
export interface AttemptListener {
  onHead(head: AnswerHead): void;
  /** @returns whether to continue reading; if `false`, reading pauses until `resume` is called */
  onData(chunk: Buffer): boolean;
  /**
   * @param isCertain - whether the framing of the answer shows that it is complete; `false` when the end
   *   of the connection ended it, which may as well have been the end of the endpoint's process
   */
  onEnd(isCertain: boolean): void;
  onFail(failure: AttemptFailure): void;
}
