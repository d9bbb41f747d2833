interface FakeRecord {
  readonly offset: number;
  readonly timeMs: number;
  readonly value: unknown;
}

/** One stream of a log in memory, whose records can be delayed, duplicated or expired. */
export class FakeLog {
  firstOffset = 1;
  timeMs = 0;
  records: FakeRecord[] = [];
  #delayed: unknown[][] = [];

  get nextOffset(): number {
    return (this.records.at(-1)?.offset ?? this.firstOffset - 1) + 1;
  }

  append(values: readonly unknown[]): number {
    const first = this.nextOffset;
    values.forEach((value) => {
      this.records.push({ offset: this.nextOffset, timeMs: this.timeMs, value });
    });
    return first;
  }

  /** Delays an append: it takes effect when {@link deliver} is called. */
  delay(values: readonly unknown[]): void {
    this.#delayed.push([...values]);
  }

  deliver(): void {
    const values = this.#delayed.shift();
    if (values) this.append(values);
  }

  read(
    fromOffset: number,
    limit = 100,
  ): { firstOffset: number; nextOffset: number; records: FakeRecord[] } {
    const records = this.records.filter(({ offset }) => offset >= fromOffset).slice(0, limit);
    return { firstOffset: this.firstOffset, nextOffset: this.nextOffset, records };
  }

  expireBefore(beforeOffset: number): void {
    const first = Math.min(beforeOffset, this.nextOffset);
    if (first <= this.firstOffset) return;
    this.firstOffset = first;
    this.records = this.records.filter(({ offset }) => offset >= first);
  }
}
