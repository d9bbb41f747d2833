import { canonicalDigest } from '@chervilseam/model';
import type { StreamRecord } from './stream-record.js';

/** The state of a fold at an offset, with a digest to verify it. */
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
 * A state folded from a stream whose oldest records may have expired. After a gap the state is
 * incomplete until a snapshot on the stream covers the gap, or until the missing records are too
 * old to matter.
 */
export abstract class RecoveringFold<S> {
  #offset = 0;
  #timeMs = 0;
  #snapshotOffset = 0;
  /** Time of the first record after a gap, in milliseconds; `undefined` while there is no gap. */
  #gapEndMs: number | undefined;
  /** Records applied while the state is incomplete, to be applied again after a snapshot. */
  #recordsSinceGap: StreamRecord[] = [];

  /** Offset of the last record applied. */
  get offset(): number {
    return this.#offset;
  }

  /** Latest time of any applied record by the log's clock, in milliseconds; never decreases. */
  get timeMs(): number {
    return this.#timeMs;
  }

  /** Offset of the latest snapshot read from the stream; 0 while there was none. */
  get snapshotOffset(): number {
    return this.#snapshotOffset;
  }

  /** Whether the state is complete: no record is missing that is recent enough to matter. */
  get isWhole(): boolean {
    const gapEndMs = this.#gapEndMs;
    return gapEndMs === undefined || this.#timeMs - this.memoryMs >= gapEndMs;
  }

  /**
   * Age from which a record no longer matters, in milliseconds; `Infinity` if it always matters.
   */
  protected abstract readonly memoryMs: number;

  /** Applies a record that is not a snapshot to the state. */
  protected abstract applyRecord(record: StreamRecord): void;

  /** @returns the state, for a snapshot */
  protected abstract save(): S;

  /** @param state - the state of a snapshot; it replaces the current one */
  protected abstract restore(state: S): void;

  /** @param record - the next record */
  apply(record: StreamRecord): void {
    this.#offset = record.offset;
    this.#timeMs = Math.max(this.#timeMs, record.timeMs);
    const entry = record.value as SnapshotEntry<S> | null;
    if (entry?.type === 'snapshot') {
      this.#snapshotOffset = record.offset;
      this.#restoreFrom(entry.snapshot);
    } else this.applyRecord(record);
    if (this.isWhole) this.#recordsSinceGap = [];
    else this.#recordsSinceGap.push(record);
  }

  /**
   * Continues after a gap with the oldest record that the log keeps. The state becomes incomplete.
   *
   * @param record - the record
   * @param firstOffset - oldest offset that the log keeps
   * @returns whether the record was applied; `false` when it is not the oldest one
   */
  skipTo(record: StreamRecord, firstOffset: number): boolean {
    if (record.offset !== firstOffset) return false;
    this.#gapEndMs = record.timeMs;
    this.#recordsSinceGap = [];
    this.apply(record);
    return true;
  }

  /** @returns the current state with its offset and digest */
  snapshot(): FoldSnapshot<S> {
    const body = { offset: this.#offset, state: this.save() };
    return { ...body, digest: canonicalDigest(body) };
  }

  // Without the expired records, the effect of later ones may have been wrong. The state is
  // therefore replaced by that of the snapshot, and the records after the snapshot's offset are
  // applied again.
  #restoreFrom({ digest, ...body }: FoldSnapshot<S>): void {
    if (this.isWhole || canonicalDigest(body) !== digest) return;
    const oldest = this.#recordsSinceGap[0]?.offset ?? this.#offset;
    if (body.offset < oldest - 1) return;
    this.restore(body.state);
    this.#gapEndMs = undefined;
    this.#recordsSinceGap
      .filter(({ offset }) => offset > body.offset)
      .forEach((record) => this.applyRecord(record));
  }
}
