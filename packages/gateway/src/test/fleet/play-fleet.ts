import { Random } from '@chervilseam/decisions';
import type { FleetConditions } from './fleet-conditions.js';
import type { FleetTroubles } from './fleet-troubles.js';
import { SimulatedEndpoints } from './simulated-endpoints.js';
import { SimulatedFleet } from './simulated-fleet.js';

/** Time with troubles, and without any after it, in milliseconds. */
const TROUBLED_MS = 50_000;
const SOUND_MS = 5_000;
const LATE_MAX_MS = 650;
const SOUND_WAY_MS = 5;
/** Shares of calls that are lost, and that are late. */
const SHARES = {
  none: { lost: 0, late: 0 },
  few: { lost: 0.01, late: 0.03 },
  many: { lost: 0.05, late: 0.1 },
} as const;

interface Play {
  readonly owners: number;
  readonly followers: number;
  readonly leaveBoundMs: number;
  readonly troubles: FleetTroubles;
  readonly seed: number;
  /** Receives what the instances log. */
  readonly onLog?: (line: string) => void;
}

interface PlayResult {
  /** Instances that would send to an endpoint later than the bound allows. */
  readonly late: readonly string[];
  /** Instances that do not use the usable endpoints once the troubles have ended. */
  readonly different: readonly string[];
  /** Reads of the list, updates between instances, and changes in them. */
  readonly counts: SimulatedFleet['counts'];
}

/**
 * Plays a fleet in simulated time; the same options give the same run.
 *
 * @param play - size of the fleet, troubles and seed
 * @returns what was found
 */
export async function playFleet(play: Play): Promise<PlayResult> {
  const random = new Random(play.seed);
  const { lost, late } = SHARES[play.troubles];
  const wayMs = (nowMs: number): number =>
    nowMs < TROUBLED_MS && random.unit() < late ? LATE_MAX_MS * random.unit() : SOUND_WAY_MS;
  const isLost = (nowMs: number): boolean => nowMs < TROUBLED_MS && random.unit() < lost;
  const conditions: FleetConditions = {
    read: (_, nowMs) => ({
      callMs: wayMs(nowMs),
      answerMs: wayMs(nowMs),
      isRefused: isLost(nowMs),
    }),
    page: (_, __, nowMs) => (isLost(nowMs) ? undefined : wayMs(nowMs)),
  };
  const fleet = new SimulatedFleet({
    ownerCount: play.owners,
    followerCount: play.followers,
    leaveBoundMs: play.leaveBoundMs,
    onLog: play.onLog,
    conditions,
  });
  new SimulatedEndpoints(fleet, random).start(TROUBLED_MS);
  await fleet.time.runUntil(TROUBLED_MS + SOUND_MS);
  const usable = fleet.usable.join();
  const different = fleet.names.filter((name) => fleet.usedBy(name).join() !== usable);
  fleet.close();
  return { late: fleet.late, different, counts: fleet.counts };
}
