const NEWLINE = 0x0a;
const SEPARATOR = Buffer.from('\n\n');

/**
 * Finds the ends of server-sent events, which are empty lines, in a stream that arrives in parts. Each byte is searched
 * once, however the parts are cut.
 */
export class EventEndFinder {
  /** Whether the bytes since the last end that was found end with a line break. */
  #endsWithNewline = false;

  /**
   * @param part - the next bytes of the stream
   * @returns the positions in `part` right after the ends of events, in order
   */
  push(part: Buffer): number[] {
    if (part.length === 0) return [];
    const ends: number[] = [];
    if (this.#endsWithNewline && part[0] === NEWLINE) ends.push(1);
    let at = part.indexOf(SEPARATOR, ends.at(-1) ?? 0);
    while (at >= 0) {
      ends.push(at + SEPARATOR.length);
      at = part.indexOf(SEPARATOR, at + SEPARATOR.length);
    }
    this.#endsWithNewline = ends.at(-1) !== part.length && part[part.length - 1] === NEWLINE;
    return ends;
  }

  /** Begins a new stream. */
  reset(): void {
    this.#endsWithNewline = false;
  }
}
