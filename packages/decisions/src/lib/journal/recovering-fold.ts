import { canonicalDigest } from '@chervilseam/model';
import type { StreamRecord } from './stream-record.js';

/** A state at an offset, with its digest. */
export interface FoldSnapshot<S> {
  /** Offset of the last record that the state covers. */
  readonly offset: number;
  readonly state: S;
  /** Digest of all the other fields. */
  readonly digest: string;
}

interface SnapshotEntry<S> {
  readonly type: 'snapshot';
  readonly snapshot: FoldSnapshot<S>;
}

/**
 * A state folded from a stream whose oldest records may be gone. After a gap it is not whole until a
 * snapshot covers the gap, or until what was lost has become too old to matter.
 */
export abstract class RecoveringFold<S> {
  #offset = 0;
  #timeMs = 0;
  #snapshotOffset = 0;
  /** Time of the oldest record after a gap; undefined while there is none. */
  #wholeSinceMs: number | undefined;
  /** Records taken while older ones are missing. */
  #unproven: StreamRecord[] = [];

  /** Offset of the last record taken. */
  get offset(): number {
    return this.#offset;
  }

  /** Latest time of a record by the log's clock, in milliseconds; it only goes forward. */
  get timeMs(): number {
    return this.#timeMs;
  }

  /** Offset of the latest snapshot on the stream; 0 while none was seen. */
  get snapshotOffset(): number {
    return this.#snapshotOffset;
  }

  /** Whether nothing that matters is missing. */
  get isWhole(): boolean {
    const sinceMs = this.#wholeSinceMs;
    return sinceMs === undefined || this.#timeMs - this.memoryMs >= sinceMs;
  }

  /** Time after which a record no longer matters, in milliseconds; Infinity if it always does. */
  protected abstract readonly memoryMs: number;

  /** Changes the state by a record. */
  protected abstract take(record: StreamRecord): void;

  /** @returns the whole state */
  protected abstract save(): S;

  /** @param state - a whole state to go on from */
  protected abstract restore(state: S): void;

  /** @param record - the next record */
  apply(record: StreamRecord): void {
    this.#offset = record.offset;
    this.#timeMs = Math.max(this.#timeMs, record.timeMs);
    const entry = record.value as SnapshotEntry<S> | null;
    if (entry?.type === 'snapshot') {
      this.#snapshotOffset = record.offset;
      this.#adopt(entry.snapshot);
    } else this.take(record);
    if (this.isWhole) this.#unproven = [];
    else this.#unproven.push(record);
  }

  /**
   * Goes on where older records are gone.
   *
   * @param record - the oldest record that is left
   * @param firstOffset - oldest offset that the log keeps
   * @returns whether the record was taken
   */
  skipTo(record: StreamRecord, firstOffset: number): boolean {
    if (record.offset !== firstOffset) return false;
    this.#wholeSinceMs = record.timeMs;
    this.#unproven = [];
    this.apply(record);
    return true;
  }

  /** @returns the state with its offset and digest */
  snapshot(): FoldSnapshot<S> {
    const body = { offset: this.#offset, state: this.save() };
    return { ...body, digest: canonicalDigest(body) };
  }

  // Without the records that are gone, those that are left may have been judged wrongly: the state
  // starts anew from the snapshot, and what came after it is judged again.
  #adopt({ digest, ...body }: FoldSnapshot<S>): void {
    if (this.isWhole || canonicalDigest(body) !== digest) return;
    const oldest = this.#unproven[0]?.offset ?? this.#offset;
    if (body.offset < oldest - 1) return;
    this.restore(body.state);
    this.#wholeSinceMs = undefined;
    this.#unproven.filter(({ offset }) => offset > body.offset).forEach((it) => this.take(it));
  }
}
