/** A request of a benchmark, and what became of it. */
export interface SimRequest {
  readonly id: string;
  readonly arrivedMs: number;
  readonly entry: number;
  readonly model: number;
  readonly promptTokens: number;
  readonly tokens: number;
  readonly isCounter: boolean;
  readonly isLong: boolean;
  readonly caller: string;
  /** Engine that ran it last. */
  engine: number;
  firstTokenMs: number | undefined;
  doneMs: number | undefined;
  refusedMs: number | undefined;
  /** Tokens that came later than the target after the one before. */
  slowTokens: number;
  /** Times that it was moved to another endpoint. */
  moves: number;
}
