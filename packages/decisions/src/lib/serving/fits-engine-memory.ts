/** What an engine holds, and a request that may be sent to it. */
interface MemoryCase {
  /** Number of requests of all instances that the engine holds, running or queued there. */
  readonly heldCount: number;
  /** Tokens of their prompts and of the longest outputs that they allow. */
  readonly heldTokenCount: number;
  /** Tokens of the request's prompt and of its longest output. */
  readonly tokenCount: number;
  /** Tokens that the engine's memory holds. */
  readonly kvTokenCount: number;
}

/**
 * Decides whether an engine has memory for a request beside all that instances have sent to it. Parts of prompts that
 * requests share count for each of them, so the sum is never less than what the engine holds. An engine without other
 * requests gets any request: it refuses one that is larger than its memory by itself.
 *
 * @param memory - what the engine holds and the size of the request, in tokens
 * @returns whether the request may be sent to the engine
 */
export const fitsEngineMemory = ({
  heldCount,
  heldTokenCount,
  tokenCount,
  kvTokenCount,
}: MemoryCase): boolean => heldCount === 0 || heldTokenCount + tokenCount <= kvTokenCount;
