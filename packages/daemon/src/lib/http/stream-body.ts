import type { IncomingMessage } from 'node:http';
import { Outcome, RefusalError } from '@chervilseam/model';

/** Takes the parts of a body that is not read in whole. */
interface BodySink {
  writeBody(data: Buffer): boolean;
  endBody(): void;
  onBodyDrain: () => void;
}

interface StreamedBody {
  /** The body in whole, or `undefined` when it is too long for that. */
  readonly body: Buffer | undefined;
  /** Feeds a long body to its sink; does nothing for one read in whole. */
  readonly rest: (sink: BodySink) => void;
}

function feed(request: IncomingMessage, first: readonly Buffer[], sink: BodySink): void {
  // eslint-disable-next-line no-param-reassign -- the sink calls back when it has room
  sink.onBodyDrain = () => request.resume();
  first.forEach((part) => sink.writeBody(part));
  request.on('data', (part: Buffer) => {
    if (!sink.writeBody(part)) request.pause();
  });
  request.on('end', () => sink.endBody());
}

/**
 * Reads a body in whole if it is short, so that the request can be sent again if need be; a longer
 * one is fed on as it comes.
 *
 * @param request - the request
 * @param wholeBytesMax - most bytes to read in whole
 * @returns the body, or the way to feed it
 * @throws RefusalError when the body breaks off
 */
export function streamBody(request: IncomingMessage, wholeBytesMax: number): Promise<StreamedBody> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let bytes = 0;
    const stop = (): void => {
      request.removeAllListeners('data');
      request.removeAllListeners('end');
    };
    request.on('data', (part: Buffer) => {
      parts.push(part);
      bytes += part.length;
      if (bytes <= wholeBytesMax) return;
      stop();
      request.pause();
      resolve({ body: undefined, rest: (sink) => feed(request, parts, sink) });
    });
    request.on('end', () => {
      stop();
      resolve({ body: Buffer.concat(parts), rest: () => {} });
    });
    request.on('error', () => {
      const options = { code: 'cancelled', outcome: Outcome.notRun } as const;
      reject(new RefusalError(options, 'the body broke off'));
    });
  });
}
