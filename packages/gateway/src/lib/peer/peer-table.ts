import type { InstanceState } from './instance-state.js';
import type { OwnedEngineState } from './owned-engine-state.js';

/** A state older than this says nothing of the load any more, in milliseconds. */
const FRESH_MS = 2_000;
/** An instance that has not been heard of for this long is forgotten, in milliseconds. */
const FORGET_MS = 12_000;

interface PeerEntry {
  readonly state: InstanceState;
  readonly heardMs: number;
}

const isNewer = (next: InstanceState, known: InstanceState | undefined): boolean =>
  !known ||
  next.startedMs > known.startedMs ||
  (next.startedMs === known.startedMs && next.sequence > known.sequence);

const sumOf = (parts: readonly Iterable<readonly [string, number]>[]): Map<string, number> => {
  const sums = new Map<string, number>();
  parts
    .flatMap((part) => [...part])
    .forEach(([key, value]) => sums.set(key, (sums.get(key) ?? 0) + value));
  return sums;
};

/** The latest state of every other instance. */
export class PeerTable {
  readonly #entries = new Map<string, PeerEntry>();

  /** Instances heard of lately, this one left out; a count. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Takes an instance's state, unless a newer one is known.
   *
   * @param state - the state
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  update(state: InstanceState, nowMs: number): void {
    if (!isNewer(state, this.#entries.get(state.instance)?.state)) return;
    this.#entries.set(state.instance, { state, heardMs: nowMs });
  }

  /** Forgets instances that have fallen silent. */
  settle(nowMs: number): void {
    this.#entries.forEach(({ heardMs }, instance) => {
      if (nowMs > heardMs + FORGET_MS) this.#entries.delete(instance);
    });
  }

  /** @returns states of instances that were heard a moment ago */
  fresh(nowMs: number): InstanceState[] {
    return [...this.#entries.values()].flatMap(({ state, heardMs }) =>
      nowMs <= heardMs + FRESH_MS ? [state] : [],
    );
  }

  /** @returns requests of the other instances that are under way, by endpoint */
  outstanding(nowMs: number): Map<string, number> {
    return sumOf(this.fresh(nowMs).map(({ outstanding }) => Object.entries(outstanding)));
  }

  /**
   * @param own - demand of this instance by model
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns demand of all instances by model
   */
  demandWith(own: ReadonlyMap<string, number>, nowMs: number): Map<string, number> {
    return sumOf([own, ...this.fresh(nowMs).map(({ demand }) => Object.entries(demand))]);
  }

  /** @returns models that callers of other instances want an answer of sooner than a load takes */
  urgentModels(nowMs: number): Set<string> {
    return new Set(this.fresh(nowMs).flatMap(({ urgentModels }) => urgentModels));
  }

  /** @returns models that requests of other instances wait for */
  awaited(nowMs: number): Set<string> {
    return new Set(this.fresh(nowMs).flatMap(({ awaited }) => awaited));
  }

  /** @returns the instance that owns a share by the newest state, if any is heard */
  ownerOf(share: number, nowMs: number): InstanceState | undefined {
    return this.fresh(nowMs)
      .filter(({ shares }) => shares.includes(share))
      .sort((left, right) => right.generation - left.generation)
      .at(0);
  }

  /** @returns what owners tell of their engines, by endpoint */
  engines(nowMs: number): Map<string, OwnedEngineState> {
    const told = this.fresh(nowMs).sort((left, right) => left.generation - right.generation);
    return new Map(told.flatMap(({ engines }) => Object.entries(engines)));
  }
}
