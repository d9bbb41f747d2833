/**
 * Framed TCP streams between instances, with a handshake, flow control and reconnection.
 *
 * @packageDocumentation
 */
export { answerInParts } from './lib/answer-in-parts.js';
export { compressedCbor } from './lib/compressed-cbor.js';
export { PeerPool } from './lib/peer-pool.js';
export { PeerServer } from './lib/peer-server.js';
export type { PeerStream } from './lib/peer-stream.js';
export { createStreamPair } from './lib/create-stream-pair.js';
