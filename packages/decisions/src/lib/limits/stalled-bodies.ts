import type { ReadingBody } from './reading-body.js';

/** Time without a byte after which a body counts as stalled, in milliseconds. */
const SILENCE_MS = 500;
/** Time after which a body counts as stalled even if bytes arrive now and then, in milliseconds. */
const AGE_MAX_MS = 5_000;

/**
 * Chooses the bodies that are given up, in order, while others wait for the memory that they hold.
 *
 * @param bodies - bodies that are being read, each with what it belongs to
 * @param nowMs - current time of the clock of the bodies, in milliseconds
 * @returns those that don't go on, the one that holds the most first
 */
export function stalledBodies<Owner, Body extends ReadingBody>(
  bodies: Iterable<readonly [Owner, Body]>,
  nowMs: number,
): readonly (readonly [Owner, Body])[] {
  return [...bodies]
    .filter(
      ([, { startedMs, lastByteMs, heldBytes }]) =>
        heldBytes > 0 && (nowMs - lastByteMs > SILENCE_MS || nowMs - startedMs > AGE_MAX_MS),
    )
    .sort(([, left], [, right]) => right.heldBytes - left.heldBytes);
}
