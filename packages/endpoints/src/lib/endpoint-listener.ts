import type { Outcome } from '@chervilseam/model';

/** Why an exchange failed. */
interface EndpointFailure {
  readonly outcome: Outcome;
  readonly message: string;
  /** Whether the time limit ended the exchange. */
  readonly isTimeout: boolean;
}

/** What the user of an exchange hears; the last call is one of `onEnd` and `onFail`. */
export interface EndpointListener {
  onHead(status: number, headers: Readonly<Record<string, string>>): void;
  /** @returns whether more bytes are welcome at once */
  onData(data: Buffer): boolean;
  onEnd(): void;
  onFail(failure: EndpointFailure): void;
  /** A streamed body may go on. */
  onDrain(): void;
}
