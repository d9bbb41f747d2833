import type { Outcome, RefusalError } from '@chervilseam/model';

/** The way back to a caller. */
export interface CallerReply {
  /** Starts the answer. */
  head(status: number, headers: Readonly<Record<string, string>>): void;
  /** @returns whether more bytes are welcome at once; otherwise wait for `onDrain` */
  write(data: Uint8Array): boolean;
  /** Ends the answer whole. */
  end(outcome: Outcome): void;
  /** Answers with an error; only before the head. */
  refuse(error: RefusalError): void;
  /** Cuts the connection, so that a part of an answer cannot pass for the whole. */
  cut(): void;
  /** Called when the caller's connection closed before the answer's end. */
  onClose: () => void;
  /** Called when bytes are welcome again. */
  onDrain: () => void;
}
