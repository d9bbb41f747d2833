import type { Outcome, RefusalError } from '@chervilseam/model';

/** Writes the answer to a caller. */
export interface CallerReply {
  /** Sends the status and the headers. */
  head(status: number, headers: Readonly<Record<string, string>>): void;
  /** @returns whether to write more bytes at once; otherwise wait for `onDrain` */
  write(data: Uint8Array): boolean;
  /** Ends a complete answer. */
  end(outcome: Outcome): void;
  /** Sends an error as the answer; has no effect after the head was sent. */
  refuse(error: RefusalError): void;
  /** Destroys the connection, so that a partial answer cannot be taken for a complete one. */
  abort(): void;
  /** Called when the connection closed before the end of the answer. */
  onClose: () => void;
  /** Called when more bytes can be written. */
  onDrain: () => void;
}
