/** Length of the first block, in bytes, unless another one is given; each further one is twice as long. */
const FIRST_BLOCK_BYTES = 1_024;
/** Length of the longest further block, in bytes. */
const BLOCK_BYTES_MAX = 16 * 1024;

/**
 * Collects bytes that arrive in parts. They are copied into blocks: a part of its own costs some hundred bytes besides
 * its contents, and keeps all that was read with it in memory, while its sender chooses how short it is.
 */
export class BlockBuffer {
  #blocks: Buffer[] = [];
  readonly #firstBlockBytes: number;
  /** Number of bytes used of the last block. */
  #usedBytes = 0;
  #length = 0;
  #heldBytes = 0;

  /** @param firstBlockBytes - length of the first block in bytes, such as the whole length if it is known */
  constructor(firstBlockBytes = FIRST_BLOCK_BYTES) {
    this.#firstBlockBytes = firstBlockBytes;
  }

  /** Number of collected bytes. */
  get length(): number {
    return this.#length;
  }

  /** Memory that the blocks take, in bytes. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** @param part - further bytes; they are copied */
  append(part: Uint8Array): void {
    let copiedBytes = 0;
    while (copiedBytes < part.length) {
      const block = this.#blockWithRoom();
      const count = Math.min(part.length - copiedBytes, block.length - this.#usedBytes);
      block.set(part.subarray(copiedBytes, copiedBytes + count), this.#usedBytes);
      this.#usedBytes += count;
      copiedBytes += count;
    }
    this.#length += part.length;
  }

  /**
   * @param bytes - number of bytes, not more than were collected nor than the first block holds
   * @returns the first collected bytes
   */
  first(bytes: number): Buffer {
    return this.#blocks[0].subarray(0, bytes);
  }

  /** @returns all collected bytes */
  join(): Buffer {
    const last = this.#blocks.at(-1);
    if (!last) return Buffer.alloc(0);
    const used = last.subarray(0, this.#usedBytes);
    return this.#blocks.length === 1 ? used : Buffer.concat([...this.#blocks.slice(0, -1), used]);
  }

  /** @returns all collected bytes; they are not kept any longer */
  take(): Buffer {
    const bytes = this.join();
    this.clear();
    return bytes;
  }

  /**
   * @param lastPart - further bytes
   * @returns all collected bytes and `lastPart`, which is copied only if there are others; they are not kept any longer
   */
  takeWith(lastPart: Buffer): Buffer {
    if (this.#length === 0) return lastPart;
    this.append(lastPart);
    return this.take();
  }

  /** Drops all collected bytes. */
  clear(): void {
    this.#blocks = [];
    this.#usedBytes = 0;
    this.#length = 0;
    this.#heldBytes = 0;
  }

  #blockWithRoom(): Buffer {
    const last = this.#blocks.at(-1);
    if (last && this.#usedBytes < last.length) return last;
    const bytes = last ? Math.min(BLOCK_BYTES_MAX, 2 * last.length) : this.#firstBlockBytes;
    const block = Buffer.allocUnsafeSlow(bytes);
    this.#blocks.push(block);
    this.#heldBytes += bytes;
    this.#usedBytes = 0;
    return block;
  }
}
