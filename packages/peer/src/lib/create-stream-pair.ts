import { PeerStream } from './peer-stream.js';

/**
 * Makes the two ends of a stream within one process, with the same flow control as over TCP.
 *
 * @returns the opener's end and the handler's end
 */
export function createStreamPair(): { readonly opener: PeerStream; readonly handler: PeerStream } {
  const ends: { opener?: PeerStream; handler?: PeerStream } = {};
  const ignore = (): void => {};
  const opener = new PeerStream(1, (message) => ends.handler?.take(message), ignore);
  const handler = new PeerStream(1, (message) => ends.opener?.take(message), ignore);
  ends.opener = opener;
  ends.handler = handler;
  return { opener, handler };
}
