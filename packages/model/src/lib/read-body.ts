import type { Readable } from 'node:stream';
import verror from 'verror';
import { BlockBuffer } from './block-buffer.js';

/** Bounds of a body that is read into memory. */
interface BodyBounds {
  /** Largest body that is accepted, in bytes. */
  readonly bytesMax: number;
  /** Called for each part that arrives. */
  readonly onPart?: () => void;
}

/**
 * Reads the body of an answer into memory.
 *
 * @param stream - the body
 * @param bounds - largest size, in bytes, and a listener for each part
 * @returns the bytes of the body
 * @throws VError when the body exceeds the bound, and the stream's error when it breaks off
 */
export function readBody(stream: Readable, { bytesMax, onPart }: BodyBounds): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const body = new BlockBuffer();
    stream.on('data', (part: Buffer) => {
      if (body.length + part.length > bytesMax) {
        stream.destroy(new verror.VError('body exceeds %d bytes', bytesMax));
        return;
      }
      body.append(part);
      onPart?.();
    });
    stream.on('end', () => resolve(body.take()));
    stream.on('error', reject);
    stream.on('close', () =>
      reject(new verror.VError('body broke off after %d bytes', body.length)),
    );
  });
}
