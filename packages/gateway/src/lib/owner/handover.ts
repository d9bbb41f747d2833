import type { InstanceState } from '../peer/instance-state.js';

/** Orders older than this need not be told, in milliseconds: no bound reaches back so far. */
const ORDER_MEMORY_MS = 8_000;

interface SeenOwner {
  readonly instance: string;
  readonly generation: number;
}

/** Tells from the others' states when a share that was theirs is free to be used. */
export class Handover {
  readonly #self: string;
  /** The other instance that last said that it owns a share, by share. */
  readonly #owners = new Map<number, SeenOwner>();
  readonly #orderedMs = new Map<number, number>();

  /** @param self - name of this instance */
  constructor(self: string) {
    this.#self = self;
  }

  /** Notes an order of this instance. */
  ordered(share: number, nowMs: number): void {
    this.#orderedMs.set(share, nowMs);
  }

  /** @returns time since this instance last gave an order, by share, in milliseconds */
  orderAgesMs(nowMs: number): Record<number, number> {
    const recent = [...this.#orderedMs].filter(([, atMs]) => nowMs - atMs < ORDER_MEMORY_MS);
    return Object.fromEntries(recent.map(([share, atMs]) => [share, Math.ceil(nowMs - atMs)]));
  }

  /** @param state - the state of an instance */
  hear({ instance, generation, shares, hasLapsed }: InstanceState): void {
    if (instance === this.#self || hasLapsed) return;
    shares.forEach((share) => {
      const known = this.#owners.get(share);
      if (!known || generation >= known.generation) {
        this.#owners.set(share, { instance, generation });
      }
    });
  }

  /**
   * @param share - a share that this instance has won
   * @param token - the generation at which it won it
   * @param states - the latest states of the instances that are heard
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns when the share's owner before last gave an order, in milliseconds; `undefined` while one
   *   that is heard may still act, or while it is not certain who that owner was
   */
  lastActMs(
    share: number,
    token: number,
    states: readonly InstanceState[],
    nowMs: number,
  ): number | undefined {
    // One whose lease has lapsed can act again only after a renewal, which tells it of the change.
    const mayAct = ({ generation, shares, hasLapsed }: InstanceState): boolean =>
      !hasLapsed && (generation < token || shares.includes(share));
    if (states.some(mayAct)) return undefined;
    // This instance may have stood still, or have started, while the share changed hands.
    const before = this.#owners.get(share);
    if (!before || before.generation < token - 1) return undefined;
    if (!states.some(({ instance }) => instance === before.instance)) return undefined;
    const ages = states.flatMap(({ orderAgesMs }) => orderAgesMs[share] ?? []);
    return nowMs - Math.min(ORDER_MEMORY_MS, ...ages);
  }
}
