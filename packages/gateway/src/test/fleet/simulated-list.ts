import type { EndpointRecord } from '@chervilseam/model';
import type { EndpointChange } from '../../lib/ports/endpoint-change.js';
import type { EndpointPage } from '../../lib/ports/endpoint-page.js';

/** A change of the list that every instance has to obey within the bound for leaving endpoints. */
interface Leaving {
  readonly id: string;
  readonly bornMs: number;
  readonly atMs: number;
}

/** The list of endpoints in the platform's store: a log of entries, and what they add up to. */
export class SimulatedList {
  readonly #nowMs: () => number;
  readonly #log: EndpointChange[] = [];
  readonly #newest = new Map<string, EndpointRecord>();
  /** Entries that were acknowledged as draining or removed, in their order. */
  readonly leavings: Leaving[] = [];
  /** Whether earlier entries have expired, so that only the newest of each endpoint can be read. */
  hasExpired = false;

  /** @param nowMs - the store's clock, in milliseconds */
  constructor(nowMs: () => number) {
    this.#nowMs = nowMs;
  }

  /** The newest entries by endpoint. */
  get newest(): ReadonlyMap<string, EndpointRecord> {
    return this.#newest;
  }

  /** @param record - entry that its endpoint writes */
  put(record: EndpointRecord): void {
    const previous = this.#newest.get(record.id);
    this.#log.push({ id: record.id, record });
    this.#newest.set(record.id, record);
    if (record.isDraining && !previous?.isDraining) this.#noteLeaving(record);
  }

  /** @param id - endpoint whose entry is removed */
  remove(id: string): void {
    const previous = this.#newest.get(id);
    if (!previous) return;
    this.#log.push({ id });
    this.#newest.delete(id);
    if (!previous.isDraining) this.#noteLeaving(previous);
  }

  /**
   * @param fromOffset - where the read begins; `undefined` to read the whole list
   * @returns the answer of the store at this moment
   */
  read(fromOffset: number | undefined): EndpointPage {
    const nextOffset = this.#log.length;
    if (fromOffset === undefined || this.hasExpired) {
      const changes = [...this.#newest].map(([id, record]) => ({ id, record }));
      return { isWhole: true, changes, nextOffset };
    }
    return { isWhole: false, changes: this.#log.slice(fromOffset), nextOffset };
  }

  #noteLeaving({ id, bornMs }: EndpointRecord): void {
    this.leavings.push({ id, bornMs, atMs: this.#nowMs() });
  }
}
