import { Random } from '@chervilseam/decisions';
import type { FleetTrouble } from './fleet-trouble.js';
import { SimulatedEndpoints } from './simulated-endpoints.js';
import { SimulatedFleet } from './simulated-fleet.js';
import { TroubledConditions } from './troubled-conditions.js';

/** Time with troubles unless another is given, and without any after it, in milliseconds. */
const TROUBLED_MS = 50_000;
const SOUND_MS = 6_000;

interface Play {
  readonly owners: number;
  readonly followers: number;
  readonly leaveBoundMs: number;
  readonly troubles: readonly FleetTrouble[];
  readonly seed: number;
  /** Time with troubles, in milliseconds. */
  readonly troubledMs?: number;
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
  const { troubles, troubledMs = TROUBLED_MS } = play;
  const conditions = new TroubledConditions(troubles, random, troubledMs);
  const fleet = new SimulatedFleet({
    ownerCount: play.owners,
    followerCount: play.followers,
    leaveBoundMs: play.leaveBoundMs,
    onLog: play.onLog,
    conditions,
  });
  new SimulatedEndpoints(fleet, random).start(troubledMs);
  conditions.begin(troubles, fleet);
  await fleet.time.runUntil(troubledMs + SOUND_MS);
  const usable = fleet.usable.join();
  const different = fleet.names.filter((name) => fleet.usedBy(name).join() !== usable);
  fleet.close();
  return { late: fleet.late, different, counts: fleet.counts };
}
