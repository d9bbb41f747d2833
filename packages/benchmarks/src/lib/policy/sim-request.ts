/** A request of a simulated run, and its outcome. Times are of the virtual clock. */
export interface SimRequest {
  readonly id: string;
  /** When the caller sent it. */
  readonly arrivedMs: number;
  /** Index of the instance that the caller sent it to. */
  readonly entry: number;
  /** Index of the requested model. */
  readonly model: number;
  readonly promptTokens: number;
  /** Number of tokens to produce. */
  readonly tokens: number;
  /** Whether an order counter sent it, whose requests have a higher priority. */
  readonly isCounter: boolean;
  /** Whether the scenario chose its number of tokens, as for the long ones of `headofline`. */
  readonly isLong: boolean;
  readonly caller: string;
  /** Index of the engine that received it last; -1 before the first one. */
  engine: number;
  /** When the entry instance received the first token. */
  firstTokenMs: number | undefined;
  /** When the entry instance received the last token. */
  doneMs: number | undefined;
  /** When the entry instance refused it. */
  refusedMs: number | undefined;
  /** Number of tokens produced while the time between tokens was above the target. */
  slowTokens: number;
  /** Number of times that it was moved to another engine while it ran. */
  moves: number;
}
