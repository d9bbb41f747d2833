import type { Random } from '@chervilseam/decisions';
import type { FleetConditions } from './fleet-conditions.js';
import { FleetTrouble } from './fleet-trouble.js';
import type { SimulatedFleet } from './simulated-fleet.js';

const SOUND_WAY_MS = 5;
const LATE_MAX_MS = 650;
const SLOW_STORE_MAX_MS = 900;
const COPY_MAX_MS = 2_000;
const LAPSE_MS = 1_500;
/** Greatest age of a copy that the store comes back from, in milliseconds. */
const COPY_AGE_MAX_MS = 8_000;
/** Time within which endpoints write their entries again after that, in milliseconds. */
const REWRITE_MAX_MS = 2_000;
/** Time without a heartbeat after which the store removes an entry, in milliseconds. */
const ENTRY_TTL_MS = 3_000;
/** Time after a trouble from which the bound for leaving endpoints holds again, in milliseconds. */
const STABLE_WINDOW_MS = 4_000;
/** Mean time between two occurrences of a trouble, in milliseconds. */
const INTERVAL_MS = 9_000;
const DURATION_MIN_MS = 500;
const DURATION_MAX_MS = 3_000;
/** Shares of calls that are lost and late, for the troubles that last. */
const SHARES: Readonly<Record<string, { readonly lost: number; readonly late: number }>> = {
  [FleetTrouble.fewLost]: { lost: 0.01, late: 0.03 },
  [FleetTrouble.manyLost]: { lost: 0.05, late: 0.1 },
};

/** A trouble that is under way, and the instances that it concerns. */
interface Occurrence {
  readonly untilMs: number;
  readonly instances: ReadonlySet<string>;
}

/** Conditions of a fleet that is in trouble from time to time. */
export class TroubledConditions implements FleetConditions {
  readonly #random: Random;
  readonly #untilMs: number;
  readonly #shares: { readonly lost: number; readonly late: number };
  readonly #occurrences = new Map<FleetTrouble, Occurrence>();
  /** Until when the bound holds for no instance, and for single ones, in milliseconds. */
  #unboundUntilMs = -Infinity;
  readonly #instanceUnboundUntilMs = new Map<string, number>();

  /**
   * @param troubles - what goes wrong
   * @param random - decides when, for how long and where
   * @param untilMs - time from which nothing goes wrong any more, in milliseconds
   */
  constructor(troubles: readonly FleetTrouble[], random: Random, untilMs: number) {
    this.#random = random;
    this.#untilMs = untilMs;
    const lasting = troubles.flatMap((trouble) => SHARES[trouble] ?? []);
    this.#shares = {
      lost: Math.max(0, ...lasting.map(({ lost }) => lost)),
      late: Math.max(0, ...lasting.map(({ late }) => late)),
    };
  }

  /**
   * Lets troubles occur.
   *
   * @param troubles - what goes wrong
   * @param fleet - where
   */
  begin(troubles: readonly FleetTrouble[], fleet: SimulatedFleet): void {
    troubles
      .filter((trouble) => SHARES[trouble] === undefined)
      .forEach((trouble) => this.#occurLater(trouble, fleet));
  }

  read = (instance: string, nowMs: number): ReturnType<FleetConditions['read']> => {
    const isLost =
      this.#isUnder(FleetTrouble.silentStore, nowMs) ||
      this.#isUnder(FleetTrouble.storeCopy, nowMs) ||
      this.#isUnder(FleetTrouble.cut, nowMs, instance);
    const isSlow = this.#isUnder(FleetTrouble.slowStore, nowMs);
    const slowMs = isSlow ? SLOW_STORE_MAX_MS * this.#random.unit() : 0;
    return {
      callMs: this.#wayMs(nowMs) + slowMs,
      answerMs: this.#wayMs(nowMs) + slowMs,
      isRefused:
        this.#isUnder(FleetTrouble.busyStore, nowMs, instance) ||
        this.#hits(this.#shares.lost, nowMs),
      isLost,
    };
  };

  update = (from: string, to: string, nowMs: number): number | undefined => {
    const isCut =
      this.#isUnder(FleetTrouble.cut, nowMs, from) !== this.#isUnder(FleetTrouble.cut, nowMs, to);
    return isCut || this.#hits(this.#shares.lost, nowMs) ? undefined : this.#wayMs(nowMs);
  };

  isAnswerLost = (_: string, to: string, nowMs: number): boolean =>
    this.#isUnder(FleetTrouble.unanswered, nowMs, to);

  copyAfterMs = (_: string, to: string, nowMs: number): number | undefined =>
    this.#isUnder(FleetTrouble.doubled, nowMs, to) ? COPY_MAX_MS * this.#random.unit() : undefined;

  standsStillUntilMs = (instance: string): number => {
    const occurrence = this.#occurrences.get(FleetTrouble.standstill);
    return occurrence?.instances.has(instance) ? occurrence.untilMs : -Infinity;
  };

  isStoreStable = (nowMs: number): boolean => nowMs > this.#unboundUntilMs + STABLE_WINDOW_MS;

  isBound = (instance: string, nowMs: number): boolean =>
    this.isStoreStable(nowMs) &&
    nowMs > (this.#instanceUnboundUntilMs.get(instance) ?? -Infinity) + STABLE_WINDOW_MS;

  #wayMs(nowMs: number): number {
    return this.#hits(this.#shares.late, nowMs) ? LATE_MAX_MS * this.#random.unit() : SOUND_WAY_MS;
  }

  #hits(share: number, nowMs: number): boolean {
    return nowMs < this.#untilMs && this.#random.unit() < share;
  }

  #isUnder(trouble: FleetTrouble, nowMs: number, instance?: string): boolean {
    const occurrence = this.#occurrences.get(trouble);
    if (!occurrence || nowMs >= occurrence.untilMs) return false;
    return instance === undefined || occurrence.instances.has(instance);
  }

  #occurLater(trouble: FleetTrouble, fleet: SimulatedFleet): void {
    const { time, names } = fleet;
    time.after(this.#random.exponential(INTERVAL_MS), () => {
      const lengthMs = DURATION_MAX_MS - DURATION_MIN_MS;
      const untilMs = time.nowMs + DURATION_MIN_MS + lengthMs * this.#random.unit();
      if (untilMs >= this.#untilMs) return;
      const share = TroubledConditions.#shareOf[trouble] ?? 1;
      const count = Math.max(1, Math.round(share * names.length));
      const instances = new Set(this.#random.shuffle(names).slice(0, count));
      this.#occurrences.set(trouble, { untilMs, instances });
      TroubledConditions.#effects[trouble]?.(this, fleet, { untilMs, instances });
      this.#occurLater(trouble, fleet);
    });
  }

  #releaseAll(untilMs: number): void {
    this.#unboundUntilMs = Math.max(this.#unboundUntilMs, untilMs);
  }

  #release(instances: ReadonlySet<string>, untilMs: number): void {
    instances.forEach((instance) => this.#instanceUnboundUntilMs.set(instance, untilMs));
  }

  /** Shares of the instances that troubles concern, if not all. */
  static readonly #shareOf: Readonly<Partial<Record<FleetTrouble, number>>> = {
    busyStore: 0.3,
    unanswered: 0.3,
    restarts: 0.1,
    standstill: 0.1,
    cut: 0.3,
  };

  /** What troubles do beyond how calls are treated. */
  static readonly #effects: Readonly<
    Partial<
      Record<
        FleetTrouble,
        (conditions: TroubledConditions, fleet: SimulatedFleet, occurrence: Occurrence) => void
      >
    >
  > = {
    slowStore: (conditions, _, { untilMs }) => conditions.#releaseAll(untilMs),
    silentStore: (conditions, _, { untilMs }) => conditions.#releaseAll(untilMs),
    storeCopy: (conditions, { list, time }, { untilMs }) => {
      conditions.#releaseAll(untilMs);
      time.after(untilMs - time.nowMs, () => {
        // Those that the store still refuses learn of the copy only later.
        const busy = conditions.#occurrences.get(FleetTrouble.busyStore);
        if (busy && busy.untilMs > untilMs) conditions.#release(busy.instances, busy.untilMs);
        const left = list.returnFromCopy(COPY_AGE_MAX_MS * conditions.#random.unit());
        [...list.written.keys()].forEach((id) =>
          time.after(REWRITE_MAX_MS * conditions.#random.unit(), () => {
            const record = list.written.get(id);
            if (record) list.put(record);
          }),
        );
        left.forEach((id) =>
          time.after(ENTRY_TTL_MS, () => {
            if (!list.written.has(id)) list.remove(id);
          }),
        );
      });
    },
    cut: (conditions, _, { untilMs, instances }) => conditions.#release(instances, untilMs),
    standstill: (conditions, _, { untilMs, instances }) => conditions.#release(instances, untilMs),
    restarts: (conditions, fleet, { instances }) => {
      conditions.#release(instances, fleet.time.nowMs);
      instances.forEach((instance) => fleet.restart(instance));
    },
    compaction: (_, { list, time }, { untilMs }) => {
      list.expireHistory(true);
      time.after(untilMs - time.nowMs, () => list.expireHistory(false));
    },
    lapses: (conditions, { list, time }) => {
      const records = conditions.#random.shuffle([...list.written.values()]).slice(0, 5);
      records.forEach((record) => {
        list.remove(record.id);
        time.after(LAPSE_MS, () => list.put(record));
      });
    },
    rebirths: (conditions, { list, time }) => {
      const records = conditions.#random.shuffle([...list.written.values()]).slice(0, 5);
      records
        .filter(({ isDraining }) => !isDraining)
        .forEach((record) => list.put({ ...record, bornMs: 2 + time.nowMs }));
    },
  };
}
