/** Length of the first block of a body whose length is not known, in bytes; each further one is twice as long. */
const FIRST_BLOCK_BYTES = 1_024;
/** Length of the longest of these blocks, in bytes. */
const BLOCK_BYTES_MAX = 16 * 1024;

/**
 * Collects the parts of a body. They are copied together, since a part of its own costs some hundred bytes besides
 * its contents, and a sender chooses how short the parts are.
 */
export class BodyBuffer {
  readonly #blocks: Buffer[] = [];
  readonly #firstBlockBytes: number;
  /** Number of bytes used of the last block. */
  #usedBytes = 0;

  /** @param bytes - length of the body, if it is known */
  constructor(bytes: number | undefined) {
    this.#firstBlockBytes = bytes ?? FIRST_BLOCK_BYTES;
  }

  /** @param part - further bytes of the body; they are copied */
  append(part: Buffer): void {
    let copiedBytes = 0;
    while (copiedBytes < part.length) {
      const block = this.#blockWithRoom();
      const count = part.copy(block, this.#usedBytes, copiedBytes);
      this.#usedBytes += count;
      copiedBytes += count;
    }
  }

  /** @returns the whole body */
  join(): Buffer {
    const last = this.#blocks.at(-1);
    if (!last) return Buffer.alloc(0);
    const used = last.subarray(0, this.#usedBytes);
    return this.#blocks.length === 1 ? used : Buffer.concat([...this.#blocks.slice(0, -1), used]);
  }

  #blockWithRoom(): Buffer {
    const last = this.#blocks.at(-1);
    if (last && this.#usedBytes < last.length) return last;
    const bytes = last ? Math.min(BLOCK_BYTES_MAX, 2 * last.length) : this.#firstBlockBytes;
    const block = Buffer.allocUnsafeSlow(bytes);
    this.#blocks.push(block);
    this.#usedBytes = 0;
    return block;
  }
}
