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
  /** Whether the answer says where its body ends; otherwise it ends with its connection. */
  readonly isFramed: boolean;
  /** Whether the endpoint closes the connection: it may be leaving. */
  readonly isClosing: boolean;
  /** Headers for the caller: names and values in turn. */
  readonly headers: readonly string[];
}
