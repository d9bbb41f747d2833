import type { IncomingMessage } from 'node:http';

/** How reading a request's body ended. */
type BodyResult =
  | { readonly kind: 'whole'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'broken' };

/**
 * Reads a request's body, so that it can be sent more than once.
 *
 * @param request - the request
 * @param bytesMax - most bytes to take
 * @returns the body, or why there is none
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
