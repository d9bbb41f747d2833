import type { EventEmitter } from 'node:events';
import type { PartLogger } from './part-logger.js';

/** Events that Node.js emits on the process for errors that nothing handled. */
const EVENTS = ['uncaughtException', 'unhandledRejection'] as const;

/**
 * Logs errors that nothing handled, and keeps the process alive: one such error belongs to one request or
 * connection, and an exit would cut all others.
 *
 * @param source - emitter of the events, normally `process`
 * @param logger - logger for the errors
 */
export function logUnexpectedErrors(
  source: Pick<EventEmitter, 'on'>,
  logger: Pick<PartLogger, 'error'>,
): void {
  EVENTS.forEach((event) => {
    source.on(event, (reason: unknown) => {
      const { message, stack } = reason instanceof Error ? reason : new Error(String(reason));
      logger.error('unexpected_error', 'nothing handled an error', { event, message, stack });
    });
  });
}
