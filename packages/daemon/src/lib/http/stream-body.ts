import type { IncomingMessage } from 'node:http';
import { BlockBuffer, Outcome, RefusalError } from '@chervilseam/model';

/** Receives a body in parts, as they arrive. */
interface BodySink {
  /** @returns whether to write more at once; otherwise wait for `onBodyDrain` */
  writeBody(data: Buffer): boolean;
  endBody(): void;
  /** Set by the sender; called when more can be written. */
  onBodyDrain: () => void;
}

interface StreamedBody {
  /** The whole body, or `undefined` if it is too long to be buffered. */
  readonly body: Buffer | undefined;
  /** Streams a long body to a sink; has no effect on a body that was read whole. */
  readonly streamTo: (sink: BodySink) => void;
}

function streamParts(request: IncomingMessage, first: Buffer, sink: BodySink): void {
  // eslint-disable-next-line no-param-reassign -- the sink calls it when it can take more
  sink.onBodyDrain = () => request.resume();
  sink.writeBody(first);
  request.on('data', (part: Buffer) => {
    if (!sink.writeBody(part)) request.pause();
  });
  request.on('end', () => sink.endBody());
}

/**
 * Reads a short body whole, so that the request can be retried; a longer body is streamed as it
 * arrives.
 *
 * @param request - the request
 * @param wholeBytesMax - longest body to read whole, in bytes
 * @returns the whole body, or a function that streams it
 * @throws RefusalError if the connection fails before the body is read or found to be long
 */
export function streamBody(request: IncomingMessage, wholeBytesMax: number): Promise<StreamedBody> {
  return new Promise((resolve, reject) => {
    const parts = new BlockBuffer();
    const removeListeners = (): void => {
      request.removeAllListeners('data');
      request.removeAllListeners('end');
    };
    request.on('data', (part: Buffer) => {
      parts.append(part);
      if (parts.length <= wholeBytesMax) return;
      removeListeners();
      request.pause();
      resolve({ body: undefined, streamTo: (sink) => streamParts(request, parts.take(), sink) });
    });
    request.on('end', () => {
      removeListeners();
      resolve({ body: parts.take(), streamTo: () => {} });
    });
    request.on('error', () => {
      const options = { code: 'cancelled', outcome: Outcome.notRun } as const;
      reject(new RefusalError(options, 'the body broke off'));
    });
  });
}
