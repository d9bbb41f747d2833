/** Kinds of buffered bytes that count against the memory budget. */
export const MemoryKind = {
  /** A request with its body, until it has been answered. */
  request: 'request',
  /** Incomplete heads of requests. */
  head: 'head',
  /** What callers send ahead of the answer to their current request. */
  ahead: 'ahead',
  /** Answers of endpoints that are not relayed yet: incomplete events, and bodies. */
  answer: 'answer',
  /** Answers that callers have not read yet. */
  unsent: 'unsent',
} as const;

/** Kinds of buffered bytes that count against the memory budget. */
export type MemoryKind = (typeof MemoryKind)[keyof typeof MemoryKind];
