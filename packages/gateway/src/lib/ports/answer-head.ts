import type { AnswerFraming } from './answer-framing.js';

/** The head of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Id of the request that the endpoint answers; `undefined` if it states none. */
  readonly requestId: string | undefined;
  /** Whether the answer carries the endpoint's signature. */
  readonly isSigned: boolean;
  /** Whether the endpoint states that it did not run the request and never will. */
  readonly didNotRun: boolean;
  /**
   * Whether the request reached an endpoint that cannot serve it: another endpoint uses the address, or
   * the endpoint lacks the model or adapter.
   */
  readonly isMisdirected: boolean;
  /** Id of the endpoint that answered; `undefined` if it states none. */
  readonly endpointId: string | undefined;
  /** Whether the endpoint announces that it is about to exit: it wants no new requests. */
  readonly isLeaving: boolean;
  /** How long an endpoint that refuses a request wants no others, in milliseconds; unset if it does not say. */
  readonly retryAfterMs?: number;
  /** How the end of the body is marked. */
  readonly framing: AnswerFraming;
  /** Headers to send to the caller: names and values alternating. */
  readonly headers: readonly string[];
}
