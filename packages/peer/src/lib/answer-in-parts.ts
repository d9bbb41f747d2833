import type { PeerStream } from './peer-stream.js';

/** Size of a part, in bytes: each part shows the receiver that the transfer goes on. */
const PART_BYTES = 8 * 1024;

/**
 * Sends bytes as the answer on a stream, and ends it. If the bytes cannot be obtained, the stream fails with
 * that error.
 *
 * @param stream - the stream that another instance opened
 * @param answer - the bytes
 */
export async function answerInParts(stream: PeerStream, answer: Promise<Buffer>): Promise<void> {
  try {
    const bytes = await answer;
    for (let start = 0; start < bytes.length; start += PART_BYTES) {
      stream.write(bytes.subarray(start, start + PART_BYTES));
    }
    stream.end();
  } catch (error) {
    stream.fail({ code: 'no_answer', message: (error as Error).message });
  }
}
