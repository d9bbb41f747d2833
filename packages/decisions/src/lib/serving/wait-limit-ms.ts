/** Share of the time to its deadline that a request may wait. */
const DEADLINE_SHARE = 0.55;
/** Share of its latency objective that a request may wait for a slot. */
const SLOT_WAIT_SHARE = 0.12;
/**
 * Share of its latency objective within which a request must be sent to be answered in time, besides the time that an
 * endpoint takes until the answer begins.
 */
const IN_TIME_SHARE = 0.5;
/** Share of the time after which callers disconnect that a request may wait for a model. */
const MODEL_WAIT_SHARE = 0.7;
/** Share of that time within which a model must be expected so that a request which waits for it goes on waiting. */
const QUEUED_MODEL_WAIT_SHARE = 0.9;
/** Share of its latency objective that a request may wait until an engine has read the prompts ahead. */
const PREFILL_WAIT_SHARE = 0.4;

/** A request that cannot be sent now. */
interface WaitCase {
  /** What it waits for: a slot, the prefill of prompts ahead, or a model or adapter to be loaded. */
  readonly waitsFor: 'slot' | 'prefill' | 'model';
  /** Whether the caller has received a part of the answer already. */
  readonly hasPartialAnswer: boolean;
  /** Time since the request was received, in milliseconds. */
  readonly elapsedMs: number;
  /** Time until its deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Latency objective of the request's route, in milliseconds. */
  readonly objectiveMs: number;
  /** Time without an answer after which callers disconnect, in milliseconds. */
  readonly callerPatienceMs: number;
  /** Whether it is queued already; absent if not. */
  readonly isQueued?: boolean;
  /** Expected time until a slot becomes free for it, in milliseconds; absent when unknown. */
  readonly slotEtaMs?: number;
  /** Expected time from its dispatch to the first part of the answer, in milliseconds; 0 when unknown. */
  readonly startMs?: number;
}

// A request waits for a slot that it is expected to get in time. Without an estimate it waits only a moment.
const slotWaitMaxMs = ({ objectiveMs, slotEtaMs, startMs = 0, elapsedMs }: WaitCase): number => {
  const inTimeMs = IN_TIME_SHARE * objectiveMs - startMs;
  if (slotEtaMs === undefined || elapsedMs + slotEtaMs > inTimeMs) {
    return SLOT_WAIT_SHARE * objectiveMs;
  }
  return Math.max(SLOT_WAIT_SHARE * objectiveMs, inTimeMs);
};

/** Longest wait without any answer, in milliseconds, by what a request waits for. */
const waitMaxMsOf: Readonly<Record<WaitCase['waitsFor'], (request: WaitCase) => number>> = {
  slot: slotWaitMaxMs,
  prefill: ({ objectiveMs }) => PREFILL_WAIT_SHARE * objectiveMs,
  model: ({ callerPatienceMs, isQueued }) =>
    (isQueued ? QUEUED_MODEL_WAIT_SHARE : MODEL_WAIT_SHARE) * callerPatienceMs,
};

/**
 * Limits how long a request may wait when all slots are taken or no engine holds its model. For a slot it waits as long as
 * it is expected to get one in time, and otherwise only a small part of its objective, since further requests arrive
 * meanwhile; a queue of prompts shrinks at a known rate and is worth a longer wait. For a model that is being loaded it may
 * wait longest, but a caller without any answer disconnects long before its deadline.
 *
 * @param request - the request
 * @returns longest wait from now, in milliseconds; 0 or less when the request must not wait
 */
export function waitLimitMs(request: WaitCase): number {
  const { waitsFor, hasPartialAnswer, elapsedMs, remainingMs } = request;
  const byDeadlineMs = DEADLINE_SHARE * remainingMs;
  if (hasPartialAnswer) return byDeadlineMs;
  return Math.min(byDeadlineMs, waitMaxMsOf[waitsFor](request) - elapsedMs);
}
