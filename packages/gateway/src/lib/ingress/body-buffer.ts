/** Length of the first block whose bytes are copied together, in bytes; each further one is twice as long. */
const FIRST_BLOCK_BYTES = 1_024;
/** Length of the longest block, in bytes. */
const BLOCK_BYTES_MAX = 16 * 1024;

/**
 * Collects the parts of a body. They are copied together, since a part of its own costs some hundred bytes besides
 * its contents, and a sender chooses how short the parts are.
 */
export class BodyBuffer {
  readonly #blocks: Buffer[] = [];
  /** Number of bytes used of the last block. */
  #usedBytes = 0;

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
    const bytes = Math.min(BLOCK_BYTES_MAX, last ? 2 * last.length : FIRST_BLOCK_BYTES);
    const block = Buffer.allocUnsafeSlow(bytes);
    this.#blocks.push(block);
    this.#usedBytes = 0;
    return block;
  }
}
