import type { PlacementMove } from '@chervilseam/decisions';

const RECORD_COUNT_MAX = 500;

/** A step of placement that this instance took, and what came of it. */
interface MoveRecord {
  /** Id of the reservation and the order. */
  readonly id: string;
  readonly atMs: number;
  readonly endpoint: string;
  readonly action: 'load' | 'unload' | 'fence';
  readonly item: string;
  readonly reason: string;
  readonly gain: number;
  readonly alternatives: PlacementMove['alternatives'];
  readonly orderedBy: string;
  /** What the log said of the reservation, or the engine of the order. */
  result: string;
}

/** The latest moves of an instance, for operators. */
export class MoveLog {
  readonly #records = new Map<string, MoveRecord>();

  /** @param record - a move that was begun */
  add(record: MoveRecord): void {
    this.#records.set(record.id, record);
    if (this.#records.size <= RECORD_COUNT_MAX) return;
    const [oldest] = this.#records.keys();
    this.#records.delete(oldest);
  }

  /**
   * @param id - a move
   * @param result - what came of it
   */
  note(id: string, result: string): void {
    const record = this.#records.get(id);
    if (record) record.result = result;
  }

  /**
   * @param id - only this move; all when empty
   * @param item - only moves of items that contain this text; all when empty
   * @returns the moves, newest first
   */
  latest(id = '', item = ''): readonly MoveRecord[] {
    return [...this.#records.values()]
      .filter((record) => (id === '' || record.id === id) && record.item.includes(item))
      .reverse();
  }
}
