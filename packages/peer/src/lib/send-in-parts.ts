import type { PeerStream } from './peer-stream.js';

/** Size of a part, in bytes: each part shows the receiver that the transfer goes on. */
const PART_BYTES = 8 * 1024;

/**
 * Sends bytes as the answer on a stream, and ends it.
 *
 * @param stream - the stream that another instance opened
 * @param bytes - the answer
 */
export function sendInParts(stream: PeerStream, bytes: Buffer): void {
  for (let start = 0; start < bytes.length; start += PART_BYTES) {
    stream.write(bytes.subarray(start, start + PART_BYTES));
  }
  stream.end();
}
