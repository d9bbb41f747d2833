import { hashOf } from '@chervilseam/decisions';
import type { EndpointLoad } from './endpoint-load.js';
import type { InstanceState } from './instance-state.js';
import type { Overview } from './overview.js';
import type { OwnedEngineState } from './owned-engine-state.js';
import { sumStates } from './sum-states.js';
import type { StateSums } from './sum-states.js';

/** A state older than this says nothing of the load any more, in milliseconds. */
const FRESH_MS = 2_000;
/** An instance that was heard this lately is taken to be in touch now, in milliseconds: a few states. */
const HEARD_NOW_MS = 500;
/** An instance that has not been heard of for this long is forgotten, in milliseconds. */
const FORGET_MS = 12_000;

interface PeerEntry {
  readonly state: InstanceState;
  heardMs: number;
}

const noSums: StateSums = {
  instanceCount: 0,
  loads: {},
  demand: {},
  urgentModels: [],
  awaited: [],
};

const isNewer = (next: InstanceState, known: InstanceState | undefined): boolean =>
  !known ||
  next.startedMs > known.startedMs ||
  (next.startedMs === known.startedMs && next.sequence > known.sequence);

// What owners tell of themselves changes seldom, but for times that count down by themselves.
const outlineOf = ({
  instance,
  generation,
  hasLapsed,
  shares,
  engines,
}: InstanceState): unknown => [
  instance,
  generation,
  hasLapsed,
  shares,
  Object.entries(engines).map(([id, { models, adapters, isBusy, leaving, loading }]) => [
    id,
    models,
    adapters,
    isBusy,
    leaving,
    loading.map(({ model }) => model),
  ]),
];

/**
 * The latest word of every other instance. Owners of shares tell each other everything; an instance
 * without shares tells one of them, its speaker, and hears from it what all others have told.
 */
export class PeerTable {
  /** Owners of shares, and instances that are not known to have none. */
  readonly #entries = new Map<string, PeerEntry>();
  /** Instances that this one speaks for. */
  readonly #followers = new Map<string, PeerEntry>();

  /**
   * Takes an owner's state, unless a newer one is known.
   *
   * @param state - the state
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  update(state: InstanceState, nowMs: number): void {
    if (!isNewer(state, this.#entries.get(state.instance)?.state)) return;
    this.#followers.delete(state.instance);
    this.#entries.set(state.instance, { state, heardMs: nowMs });
  }

  /**
   * Takes the state of an instance without shares that tells only this one.
   *
   * @param state - the state
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  follow(state: InstanceState, nowMs: number): void {
    if (!isNewer(state, this.#followers.get(state.instance)?.state)) return;
    this.#entries.delete(state.instance);
    this.#followers.set(state.instance, { state, heardMs: nowMs });
  }

  /**
   * Takes what the speaker of this instance answers.
   *
   * @param overview - the answer
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  takeOverview({ summary, owners, states }: Overview, nowMs: number): void {
    // The summary stands for all: what was heard in other ways must not count twice.
    const heard = new Set([summary.instance, ...owners]);
    this.#entries.forEach((entry, instance) => {
      if (!heard.has(instance)) this.#entries.delete(instance);
      else this.#entries.set(instance, { state: { ...entry.state, ...noSums }, heardMs: nowMs });
    });
    states?.forEach((state) => {
      this.#entries.set(state.instance, { state: { ...state, ...noSums }, heardMs: nowMs });
    });
    this.#entries.set(summary.instance, { state: summary, heardMs: nowMs });
  }

  /**
   * @param own - the state of this instance alone
   * @param follower - the instance that is answered
   * @param knownVersion - version of the owners' states that it has
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns what it is answered
   */
  overviewFor(
    own: InstanceState,
    follower: string,
    knownVersion: number | undefined,
    nowMs: number,
  ): Overview {
    const others = this.fresh(nowMs);
    const followers = this.#freshFollowers(nowMs).filter(({ instance }) => instance !== follower);
    const version = hashOf(JSON.stringify(others.map(outlineOf)));
    return {
      summary: { ...own, ...sumStates([own, ...others, ...followers]), usedAdapters: {} },
      owners: others.map(({ instance }) => instance),
      version,
      ...(version !== knownVersion && {
        states: others.map((state) => ({ ...state, ...noSums, usedAdapters: {} })),
      }),
    };
  }

  /** @returns sums over the instances that this one speaks for, itself included */
  sumsWith(own: StateSums, nowMs: number): StateSums {
    return sumStates([own, ...this.#freshFollowers(nowMs)]);
  }

  /** Addresses of the instances that this one speaks for. */
  get followers(): readonly Pick<InstanceState, 'host' | 'port'>[] {
    return [...this.#followers.values()].map(({ state }) => state);
  }

  /** Forgets instances that have fallen silent. */
  settle(nowMs: number): void {
    this.#entries.forEach(({ heardMs }, instance) => {
      if (nowMs > heardMs + FORGET_MS) this.#entries.delete(instance);
    });
    this.#followers.forEach(({ heardMs }, instance) => {
      if (nowMs > heardMs + FRESH_MS) this.#followers.delete(instance);
    });
  }

  /** @returns instances that are heard of, this one left out; a count */
  instanceCount(): number {
    const entries = [...this.#entries.values(), ...this.#followers.values()];
    return entries.reduce((sum, { state }) => sum + state.instanceCount, 0);
  }

  /** @returns states of owners that were heard a moment ago */
  fresh(nowMs: number): InstanceState[] {
    return [...this.#entries.values()].flatMap(({ state, heardMs }) =>
      nowMs <= heardMs + FRESH_MS ? [state] : [],
    );
  }

  /** @returns what the other instances have under way, by endpoint */
  loads(nowMs: number): Readonly<Record<string, EndpointLoad>> {
    return sumStates(this.#all(nowMs)).loads;
  }

  /**
   * @param own - demand of this instance by model
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns demand of all instances by model
   */
  demandWith(own: Readonly<Record<string, number>>, nowMs: number): Map<string, number> {
    const parts = [{ ...noSums, demand: own }, ...this.#all(nowMs)];
    return new Map(Object.entries(sumStates(parts).demand));
  }

  /** @returns models that callers of other instances want an answer of sooner than a load takes */
  urgentModels(nowMs: number): readonly string[] {
    return sumStates(this.#all(nowMs)).urgentModels;
  }

  /** @returns models that requests of other instances wait for */
  awaited(nowMs: number): readonly string[] {
    return sumStates(this.#all(nowMs)).awaited;
  }

  /** @returns the instance that owns a share by the newest state, if any is heard */
  ownerOf(share: number, nowMs: number): InstanceState | undefined {
    return this.fresh(nowMs)
      .filter(({ shares, hasLapsed }) => !hasLapsed && shares.includes(share))
      .sort((left, right) => right.generation - left.generation)
      .at(0);
  }

  /** @returns what owners tell of their engines, by endpoint */
  engines(nowMs: number): Map<string, OwnedEngineState> {
    const told = this.fresh(nowMs).sort((left, right) => left.generation - right.generation);
    return new Map(told.flatMap(({ engines }) => Object.entries(engines)));
  }

  /**
   * @param generation - generation of the group that this instance last heard of
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns whether every other instance was heard right now and none knows of a newer generation;
   *   never so where some speak for others, whose generation is not told, nor when none is known
   */
  isUnanimous(generation: number, nowMs: number): boolean {
    if (this.#followers.size > 0 || this.#entries.size === 0) return false;
    return [...this.#entries.values()].every(
      ({ state, heardMs }) =>
        nowMs <= heardMs + HEARD_NOW_MS &&
        state.generation <= generation &&
        state.instanceCount === 1,
    );
  }

  #freshFollowers(nowMs: number): InstanceState[] {
    return [...this.#followers.values()].flatMap(({ state, heardMs }) =>
      nowMs <= heardMs + FRESH_MS ? [state] : [],
    );
  }

  #all(nowMs: number): InstanceState[] {
    return [...this.fresh(nowMs), ...this.#freshFollowers(nowMs)];
  }
}
