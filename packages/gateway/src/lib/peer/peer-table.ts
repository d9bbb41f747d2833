import type { EndpointLoad } from './endpoint-load.js';
import type { InstanceState } from './instance-state.js';
import { isNewer } from './is-newer.js';
import type { Overview } from './overview.js';
import type { OwnedEngineState } from './owned-engine-state.js';
import type { StateSums } from './state-sums.js';
import { sumOf } from './sum-of.js';
import { sumStates } from './sum-states.js';

/** A state received longer ago than this no longer describes the load, in milliseconds. */
const STATE_TTL_MS = 2_000;
/**
 * An instance counts as reachable now when its state was received within this time, in milliseconds:
 * a few intervals between states.
 */
const REACHABLE_MS = 500;
/** An instance is removed when no state of it was received for this long, in milliseconds. */
const RETENTION_MS = 12_000;
/** Precision of the remaining time of a load in overviews, in milliseconds. */
const REMAINING_STEP_MS = 250;
/** Precision of the ages of orders in overviews, in milliseconds. */
const ORDER_AGE_STEP_MS = 1_000;

interface PeerEntry {
  readonly state: InstanceState;
  lastSeenMs: number;
}

const noSums: StateSums = {
  instanceCount: 0,
  loads: {},
  demand: {},
  urgentModels: [],
  lateAfterLoadModels: [],
  awaited: [],
  returning: [],
  returningSoon: [],
};

const overviewEngineOf = (engine: OwnedEngineState): OwnedEngineState => ({
  ...engine,
  storeLoadAgesMs: {},
  loading: engine.loading.map(({ remainingMs, ...load }) => ({
    ...load,
    remainingMs: Math.ceil(remainingMs / REMAINING_STEP_MS) * REMAINING_STEP_MS,
  })),
});

// What followers need of an owner's state. Parts that change with every state are left out, so that an
// overview changes only when a request may be dispatched differently.
const overviewStateOf = (state: InstanceState): InstanceState => ({
  ...state,
  ...noSums,
  sequence: 0,
  usedAdapters: {},
  // The summary has them merged.
  engineEnds: {},
  leavingRuns: [],
  // Rounded down: an order that is taken for a later one only prolongs a hand-over.
  orderAgesMs: Object.fromEntries(
    Object.entries(state.orderAgesMs).map(([share, ageMs]) => [
      share,
      Math.floor(ageMs / ORDER_AGE_STEP_MS) * ORDER_AGE_STEP_MS,
    ]),
  ),
  engines: Object.fromEntries(
    Object.entries(state.engines).map(([id, engine]) => [id, overviewEngineOf(engine)]),
  ),
});

/**
 * The latest state of every other instance. Owners of shares send each other their states. An instance
 * without shares, a follower, sends its state to one owner only, its aggregator, which answers with an
 * overview of all other instances.
 */
export class PeerTable {
  /** Owners of shares, and instances that are not known to be without shares. */
  readonly #entries = new Map<string, PeerEntry>();
  /** Instances whose states this one aggregates. */
  readonly #followers = new Map<string, PeerEntry>();

  /**
   * Records an owner's state, unless a newer one is known.
   *
   * @param state - the state
   * @param nowMs - monotonic clock, in milliseconds
   */
  updateOwner(state: InstanceState, nowMs: number): void {
    if (!isNewer(state, this.#entries.get(state.instance)?.state)) return;
    this.#followers.delete(state.instance);
    this.#entries.set(state.instance, { state, lastSeenMs: nowMs });
  }

  /**
   * Records the state of a follower of this instance, unless a newer one is known.
   *
   * @param state - the state
   * @param nowMs - monotonic clock, in milliseconds
   */
  updateFollower(state: InstanceState, nowMs: number): void {
    if (!isNewer(state, this.#followers.get(state.instance)?.state)) return;
    this.#entries.delete(state.instance);
    this.#followers.set(state.instance, { state, lastSeenMs: nowMs });
  }

  /**
   * Updates the table from the overview that this instance's aggregator answered, and removes the
   * instances that are not part of it.
   *
   * @param overview - the answer
   * @param nowMs - monotonic clock, in milliseconds
   */
  applyOverview({ summary, states }: Overview, nowMs: number): void {
    this.#entries.clear();
    Object.values(states).forEach((state) =>
      this.#entries.set(state.instance, { state, lastSeenMs: nowMs }),
    );
    this.#entries.set(summary.instance, { state: summary, lastSeenMs: nowMs });
  }

  /**
   * @param own - the state of this instance alone
   * @param follower - the follower that is answered
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the overview for the follower
   */
  overviewFor(own: InstanceState, follower: string, nowMs: number): Overview {
    const others = this.fresh(nowMs);
    const followers = this.#freshFollowers(nowMs).filter(({ instance }) => instance !== follower);
    const sums = sumStates([own, ...others, ...followers]);
    const loads = Object.fromEntries(
      Object.entries(sums.loads).map(([id, { count, unreadTokenCount, heldTokenCount }]) => [
        id,
        { count, unreadTokenCount, heldTokenCount },
      ]),
    );
    return {
      summary: { ...own, ...sums, loads, usedAdapters: {} },
      states: Object.fromEntries(others.map((state) => [state.instance, overviewStateOf(state)])),
    };
  }

  /** @returns sums over this instance and its followers */
  sumsWith(own: StateSums, nowMs: number): StateSums {
    return sumStates([own, ...this.#freshFollowers(nowMs)]);
  }

  /** Addresses of this instance's followers. */
  get followers(): readonly Pick<InstanceState, 'host' | 'port'>[] {
    return [...this.#followers.values()].map(({ state }) => state);
  }

  /** @param instance - name of a follower that has left this instance for another aggregator */
  removeFollower(instance: string): void {
    this.#followers.delete(instance);
  }

  /** Removes instances whose states have not been received for too long. */
  removeExpired(nowMs: number): void {
    this.#entries.forEach(({ lastSeenMs }, instance) => {
      if (nowMs > lastSeenMs + RETENTION_MS) this.#entries.delete(instance);
    });
    this.#followers.forEach(({ lastSeenMs }, instance) => {
      if (nowMs > lastSeenMs + STATE_TTL_MS) this.#followers.delete(instance);
    });
  }

  /** @returns number of known instances, without this one */
  instanceCount(): number {
    const entries = [...this.#entries.values(), ...this.#followers.values()];
    return entries.reduce((sum, { state }) => sum + state.instanceCount, 0);
  }

  /** @returns recently received states, without those of followers */
  fresh(nowMs: number): InstanceState[] {
    return [...this.#entries.values()].flatMap(({ state, lastSeenMs }) =>
      nowMs <= lastSeenMs + STATE_TTL_MS ? [state] : [],
    );
  }

  /** @returns requests that the other instances have in progress, by endpoint */
  loads(nowMs: number): Readonly<Record<string, EndpointLoad>> {
    return sumOf.loads(this.#all(nowMs));
  }

  /**
   * @param own - demand of this instance by model, in prompt-token equivalents per second
   * @param nowMs - monotonic clock, in milliseconds
   * @returns demand of all instances by model, in the same unit
   */
  demandWith(own: Readonly<Record<string, number>>, nowMs: number): Map<string, number> {
    const parts = [{ ...noSums, demand: own }, ...this.#all(nowMs)];
    return new Map(Object.entries(sumOf.demand(parts)));
  }

  /**
   * @param demand - demand of this instance by model
   * @param lossWeights - what its callers lose, by model
   * @param nowMs - monotonic clock, in milliseconds
   * @returns mean loss of the callers of all instances for each token, by model
   */
  lossWeightsWith(
    demand: Readonly<Record<string, number>>,
    lossWeights: Readonly<Record<string, number>>,
    nowMs: number,
  ): Readonly<Record<string, number>> {
    return sumOf.lossWeights([{ ...noSums, demand, lossWeights }, ...this.#all(nowMs)]);
  }

  /** @returns latency-critical models of the callers of other instances */
  urgentModels(nowMs: number): readonly string[] {
    return sumOf.urgentModels(this.#all(nowMs));
  }

  /** @returns models whose callers at other instances would be answered late after a load */
  lateAfterLoadModels(nowMs: number): readonly string[] {
    return sumOf.lateAfterLoadModels(this.#all(nowMs));
  }

  /** @returns models that queued requests of other instances wait for */
  awaited(nowMs: number): readonly string[] {
    return sumOf.awaited(this.#all(nowMs));
  }

  /** @returns models whose callers other instances refused and who have yet to return */
  returning(nowMs: number): readonly string[] {
    return sumOf.returning(this.#all(nowMs));
  }

  /** @returns those of them with a caller who returns before a load that begins now is done */
  returningSoon(nowMs: number): readonly string[] {
    return sumOf.returningSoon(this.#all(nowMs));
  }

  /** @returns state of the reachable instance that owns a share in the newest generation, if any */
  ownerOf(share: number, nowMs: number): InstanceState | undefined {
    return this.fresh(nowMs)
      .filter(({ shares, hasLapsed }) => !hasLapsed && shares.includes(share))
      .sort((left, right) => right.generation - left.generation)
      .at(0);
  }

  /** @returns states of the engines of all reachable owners, by endpoint */
  engines(nowMs: number): Map<string, OwnedEngineState> {
    const states = this.fresh(nowMs).sort((left, right) => left.generation - right.generation);
    return new Map(states.flatMap(({ engines }) => Object.entries(engines)));
  }

  /**
   * @param generation - latest generation of the group that this instance knows
   * @param nowMs - monotonic clock, in milliseconds
   * @returns whether every other instance is reachable now and none knows a newer generation; `false`
   *   when any instance has followers, since aggregated states do not carry their generations, and
   *   when no other instance is known
   */
  isUnanimous(generation: number, nowMs: number): boolean {
    if (this.#followers.size > 0 || this.#entries.size === 0) return false;
    return [...this.#entries.values()].every(
      ({ state, lastSeenMs }) =>
        nowMs <= lastSeenMs + REACHABLE_MS &&
        state.generation <= generation &&
        state.instanceCount === 1,
    );
  }

  /** @returns expected time until each model that a planner has planned to load can serve, in milliseconds */
  planned(nowMs: number): Record<string, number> {
    return Object.assign({}, ...this.fresh(nowMs).map(({ planned }) => planned ?? {})) as Record<
      string,
      number
    >;
  }

  #freshFollowers(nowMs: number): InstanceState[] {
    return [...this.#followers.values()].flatMap(({ state, lastSeenMs }) =>
      nowMs <= lastSeenMs + STATE_TTL_MS ? [state] : [],
    );
  }

  #all(nowMs: number): InstanceState[] {
    return [...this.fresh(nowMs), ...this.#freshFollowers(nowMs)];
  }
}
