import { PeerStream } from './peer-stream.js';

/**
 * Creates a stream within one process, with the same flow control as a stream over TCP.
 *
 * @returns the end of the caller that opens the stream and the end of the handler that answers it
 */
export function createStreamPair(): { readonly opener: PeerStream; readonly handler: PeerStream } {
  const ends: { opener?: PeerStream; handler?: PeerStream } = {};
  const noop = (): void => {};
  const opener = new PeerStream(1, (message) => ends.handler?.receive(message), noop);
  const handler = new PeerStream(1, (message) => ends.opener?.receive(message), noop);
  ends.opener = opener;
  ends.handler = handler;
  return { opener, handler };
}
