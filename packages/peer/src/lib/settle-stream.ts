import { BlockBuffer } from '@chervilseam/model';
import type { PeerStream } from './peer-stream.js';

/** Bounds of an answer, in milliseconds and bytes. */
interface AnswerBounds {
  /** Longest time for the whole answer. */
  readonly totalMs: number;
  /** Longest time without data; by default only the total is bounded. */
  readonly silenceMs?: number;
  /** Largest amount of data that is kept. */
  readonly bytesMax: number;
}

/** An answer: its data, and the parameters that the handler ended its stream with. */
interface SettledAnswer {
  readonly data: Buffer;
  readonly params: unknown;
}

/**
 * Ends the request on a stream and waits for the answer.
 *
 * @param stream - the stream, just opened
 * @param method - name of the handler, for errors
 * @param bounds - bounds of the answer
 * @returns the answer
 * @throws the handler's failure, the connection's error, or an error when a bound is exceeded
 */
export function settleStream(
  stream: PeerStream,
  method: string,
  { totalMs, silenceMs, bytesMax }: AnswerBounds,
): Promise<SettledAnswer> {
  return new Promise((resolve, reject) => {
    const parts = new BlockBuffer();
    const timers: NodeJS.Timeout[] = [];
    const stopTimers = (): void => timers.forEach((timer) => clearTimeout(timer));
    const cancel = (code: string, message: string): void => {
      stopTimers();
      stream.fail({ code, message });
      reject(new Error(`${method} ${message}`));
    };
    const cancelAfter = (delayMs: number, text: string): NodeJS.Timeout => {
      const timer = setTimeout(() => cancel('timeout', `${text} ${delayMs} ms`), delayMs);
      timers.push(timer);
      return timer;
    };
    cancelAfter(totalMs, 'timed out after');
    const silence =
      silenceMs === undefined ? undefined : cancelAfter(silenceMs, 'delivered nothing for');
    // A stream calls the listener that is assigned to it.
    // eslint-disable-next-line no-param-reassign
    stream.listener = {
      onData: (data) => {
        if (parts.length + data.length > bytesMax) {
          cancel('too_large', `answered with more than ${bytesMax} bytes`);
          return;
        }
        parts.append(data);
        silence?.refresh();
      },
      onEnd: (params) => {
        stopTimers();
        resolve({ data: parts.take(), params });
      },
      onFail: (reason) => {
        stopTimers();
        const { message } = (reason ?? {}) as { message?: string };
        reject(new Error(message ?? 'the other side failed'));
      },
    };
    stream.end();
  });
}
