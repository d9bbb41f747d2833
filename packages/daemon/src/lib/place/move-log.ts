import type { PlacementMove } from '@chervilseam/decisions';

/** Number of moves that are kept; the oldest are dropped. */
const RECORD_COUNT_MAX = 500;

/** A load, unload or fence order that this instance decided to give, with its latest result. */
interface MoveRecord {
  /** Id of the reservation and the order. */
  readonly id: string;
  /** Wall clock when the reservation was submitted, in milliseconds since the epoch. */
  readonly atMs: number;
  readonly endpoint: string;
  readonly action: 'load' | 'unload' | 'fence';
  readonly item: string;
  readonly reason: string;
  /** Expected gain in tokens per second of a load of the placement plan; 0 for other orders. */
  readonly gain: number;
  /** The next best engines for a load of the placement plan. */
  readonly alternatives: PlacementMove['alternatives'];
  /** Name of the instance that gives the order. */
  readonly orderedBy: string;
  /** Whether the log accepted the reservation; later, how the engine answered the order. */
  result: string;
}

/** The most recent moves that this instance decided on, shown to operators. */
export class MoveLog {
  readonly #records = new Map<string, MoveRecord>();

  /**
   * Adds a move and drops the oldest one beyond `RECORD_COUNT_MAX`.
   *
   * @param record - a move whose reservation was submitted to the log
   */
  add(record: MoveRecord): void {
    this.#records.set(record.id, record);
    if (this.#records.size <= RECORD_COUNT_MAX) return;
    const [oldest] = this.#records.keys();
    this.#records.delete(oldest);
  }

  /**
   * Replaces the result of a move; does nothing for an unknown id.
   *
   * @param id - id of the move
   * @param result - its latest result
   */
  recordResult(id: string, result: string): void {
    const record = this.#records.get(id);
    if (record) record.result = result;
  }

  /**
   * @param id - id of the move to return; empty for any id
   * @param item - text that the name of the move's item has to contain; empty for any item
   * @returns the matching moves, newest first
   */
  latest(id = '', item = ''): readonly MoveRecord[] {
    return [...this.#records.values()]
      .filter((record) => (id === '' || record.id === id) && record.item.includes(item))
      .reverse();
  }
}
