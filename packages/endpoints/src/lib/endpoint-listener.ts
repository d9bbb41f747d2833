import type { Outcome } from '@chervilseam/model';

/** Why an exchange failed. */
interface EndpointFailure {
  /** Whether the endpoint may have run the request. */
  readonly outcome: Outcome;
  readonly message: string;
  /** Whether the head of the answer did not arrive in time. */
  readonly isTimeout: boolean;
}

/** Receives the events of an exchange; the last call is `onEnd` or `onFail`. */
export interface EndpointListener {
  /** The status and the headers of the answer have arrived. */
  onHead(status: number, headers: Readonly<Record<string, string>>): void;
  /** @returns whether more data may follow now; otherwise `resume` must be called later */
  onData(data: Buffer): boolean;
  /** The answer is complete. */
  onEnd(): void;
  onFail(failure: EndpointFailure): void;
  /** More of a streamed body may be sent, after `write` returned `false`. */
  onDrain(): void;
}
