import type { IncomingMessage } from 'node:http';
import { BlockBuffer, Outcome, RefusalError } from '@chervilseam/model';

/**
 * Reads the whole body of a request.
 *
 * @param request - the request
 * @param bytesMax - maximum length of the body, in bytes
 * @returns the body
 * @throws RefusalError if the body is too long or its connection fails
 */
export function readBody(request: IncomingMessage, bytesMax: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const body = new BlockBuffer();
    const refuse = (code: 'body_too_large' | 'cancelled', message: string): void => {
      reject(new RefusalError({ code, outcome: Outcome.notRun }, message));
    };
    request.on('data', (part: Buffer) => {
      if (body.length + part.length <= bytesMax) body.append(part);
      else refuse('body_too_large', `the body has more than ${bytesMax} bytes`);
    });
    request.on('end', () => resolve(body.take()));
    request.on('error', () => refuse('cancelled', 'the body broke off'));
  });
}
