import type { AnswerFraming } from './answer-framing.js';

/** The head of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Request that the answer belongs to, as the endpoint says. */
  readonly requestId: string | undefined;
  /** Whether the answer bears the endpoint's signature. */
  readonly isSigned: boolean;
  /** Whether the endpoint says that it did not run the request and never will. */
  readonly didNotRun: boolean;
  /** Whether the address belongs to another endpoint, or the model is not there. */
  readonly isMisdirected: boolean;
  /** Endpoint that answers at the address, when it said so. */
  readonly endpointId: string | undefined;
  /** How the end of the body is known. */
  readonly framing: AnswerFraming;
  /** Headers for the caller: names and values in turn. */
  readonly headers: readonly string[];
}
