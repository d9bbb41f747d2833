import type { IncomingMessage } from 'node:http';

/** Result of reading a request's body. */
type BodyResult =
  | { readonly kind: 'whole'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'broken' };

/**
 * Reads a request's body into memory, so that it can be sent again in a retry.
 *
 * @param request - the request
 * @param bytesMax - largest body that is accepted, in bytes
 * @returns the body, or why it could not be read
 */
export function readRequestBody(request: IncomingMessage, bytesMax: number): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= bytesMax) chunks.push(chunk);
      else resolve({ kind: 'too-large' });
    });
    request.on('end', () => resolve({ kind: 'whole', body: Buffer.concat(chunks) }));
    request.on('error', () => resolve({ kind: 'broken' }));
    request.on('close', () => resolve({ kind: 'broken' }));
  });
}
