import { eraNumber } from '@chervilseam/model';
import type { EndpointRecord } from '@chervilseam/model';
import type { EndpointChange } from '../../lib/ports/endpoint-change.js';
import type { EndpointPage } from '../../lib/ports/endpoint-page.js';

/** A change of the list that every instance has to obey within the bound for leaving endpoints. */
interface Leaving {
  readonly id: string;
  readonly bornMs: number;
  readonly atMs: number;
  /** Whether a copy of the store lacks it, so that only those who had learnt it can still obey it. */
  readonly isLost: boolean;
}

interface LoggedChange extends EndpointChange {
  readonly atMs: number;
}

/** The list of endpoints in the platform's store: a log of entries, and what they add up to. */
export class SimulatedList {
  readonly #nowMs: () => number;
  readonly #isStable: () => boolean;
  #log: LoggedChange[] = [];
  readonly #newest = new Map<string, EndpointRecord>();
  /** Entries as their endpoints wrote them last, which a copy of the store may lack. */
  readonly #written = new Map<string, EndpointRecord>();
  #era = 0;
  /** Entries that a stable store acknowledged as draining or removed and that did not come back, in their order. */
  #leavings: readonly Leaving[] = [];
  #hasExpired = false;

  /**
   * @param nowMs - the store's clock, in milliseconds
   * @param isStable - whether the store has been sound for long enough for what it acknowledges to bind the instances
   */
  constructor(nowMs: () => number, isStable: () => boolean) {
    this.#nowMs = nowMs;
    this.#isStable = isStable;
  }

  /** The newest entries by endpoint. */
  get newest(): ReadonlyMap<string, EndpointRecord> {
    return this.#newest;
  }

  /** Entries by endpoint, as these wrote them last; endpoints that have left have none. */
  get written(): ReadonlyMap<string, EndpointRecord> {
    return this.#written;
  }

  /**
   * Goes back to a copy of the list, in a new era of the store.
   *
   * @param ageMs - age of the copy, in milliseconds
   * @returns endpoints that the copy lists although they have left
   */
  returnFromCopy(ageMs: number): readonly string[] {
    this.#era += 1;
    const copiedMs = this.#nowMs() - ageMs;
    this.#log = this.#log.filter(({ atMs }) => atMs <= copiedMs);
    this.#leavings = this.#leavings.map((leaving) => ({
      ...leaving,
      isLost: leaving.isLost || leaving.atMs > copiedMs,
    }));
    this.#newest.clear();
    this.#log.forEach(({ id, record }) => {
      if (record) this.#newest.set(id, record);
      else this.#newest.delete(id);
    });
    return [...this.#newest.keys()].filter((id) => !this.#written.has(id));
  }

  /** @param hasExpired - whether earlier entries have expired, so that only the newest of each endpoint can be read */
  expireHistory(hasExpired: boolean): void {
    this.#hasExpired = hasExpired;
  }

  /** @param record - entry that its endpoint writes */
  put(record: EndpointRecord): void {
    const previous = this.#written.get(record.id);
    this.#log.push({ id: record.id, record, atMs: this.#nowMs() });
    this.#written.set(record.id, record);
    this.#newest.set(record.id, record);
    if (!record.isDraining) this.#forgetLeaving(record);
    if (record.isDraining && !previous?.isDraining) this.#noteLeaving(record);
  }

  /** @param id - endpoint whose entry is removed */
  remove(id: string): void {
    const previous = this.#written.get(id) ?? this.#newest.get(id);
    if (!previous) return;
    this.#written.delete(id);
    if (this.#newest.delete(id)) this.#log.push({ id, atMs: this.#nowMs() });
    if (!previous.isDraining) this.#noteLeaving(previous);
  }

  /**
   * @param fromOffset - where the read begins; `undefined` to read the whole list
   * @returns the answer of the store at this moment
   */
  read(fromOffset: number | undefined): EndpointPage {
    const nextOffset = eraNumber.of(this.#era, this.#log.length);
    const isOtherEra = eraNumber.eraOf(fromOffset ?? 0) !== this.#era;
    if (fromOffset === undefined || this.#hasExpired || isOtherEra) {
      const changes = [...this.#newest].map(([id, record]) => ({ id, record }));
      return { isWhole: true, changes, nextOffset };
    }
    const changes = this.#log.slice(eraNumber.numberIn(fromOffset));
    return { isWhole: false, changes, nextOffset };
  }

  /** @returns endpoints that left between two times and did not come back */
  leavingsBetween(fromMs: number, untilMs: number): readonly Leaving[] {
    return this.#leavings.filter(({ atMs }) => atMs >= fromMs && atMs <= untilMs);
  }

  #noteLeaving({ id, bornMs }: EndpointRecord): void {
    if (!this.#isStable()) return;
    this.#leavings = [...this.#leavings, { id, bornMs, atMs: this.#nowMs(), isLost: false }];
  }

  // The entry of an endpoint that runs may lapse and come back.
  #forgetLeaving(record: EndpointRecord): void {
    this.#leavings = this.#leavings.filter(
      ({ id, bornMs }) => id !== record.id || bornMs !== record.bornMs,
    );
  }
}
