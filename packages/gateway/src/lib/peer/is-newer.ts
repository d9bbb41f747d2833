import type { SequencedMessage } from './sequenced-message.js';

/**
 * @param next - a message of an instance
 * @param known - the latest one that is known, if there is one
 * @returns whether the message was sent after the known one
 */
export const isNewer = (next: SequencedMessage, known: SequencedMessage | undefined): boolean =>
  !known ||
  next.startedMs > known.startedMs ||
  (next.startedMs === known.startedMs && next.sequence > known.sequence);
