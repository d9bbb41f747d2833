/** A model as placement sees it. */
interface PlacementModel {
  readonly name: string;
  /** Weights and KV reserve, in bytes. */
  readonly bytes: number;
  /** Whether it must stay reachable. */
  readonly isLabelled: boolean;
  /** Whether requests wait for it: it gets a place although nothing is gained by it. */
  readonly isAwaited?: boolean;
  /** Whether those who ask for it can wait for a load; unknown for a model that nobody asks for. */
  readonly isPatient?: boolean;
  /** Wanted tokens a second. */
  readonly demand: number;
  /** Tokens a second to prepare for; the demand when left out. */
  readonly forecast?: number;
}

/** An engine as placement sees it. */
interface PlacementEngine {
  readonly name: string;
  readonly capacityBytes: number;
  /** Tokens a second that it makes at the target's pace. */
  readonly tokensPerSecond: number;
  /** Models that are resident or being loaded. */
  readonly models: readonly string[];
  /** Those of them that can serve now. */
  readonly ready: readonly string[];
  /** Bytes that the ledger counts besides those models. */
  readonly otherBytes: number;
  /** Time to load each model there, in milliseconds; one left out loads at once. */
  readonly loadMsByModel?: ReadonlyMap<string, number>;
}

/** What a round of placement starts from. */
export interface PlacementInput {
  readonly models: readonly PlacementModel[];
  readonly engines: readonly PlacementEngine[];
  /** Moves that may be begun in this round; a count. */
  readonly moveBudget: number;
  /** Share of an engine's tokens that a model without a replica may take from others. */
  readonly lossShareMax?: number;
  /** The same for a model whose callers can wait; as for the others when left out. */
  readonly patientLossShareMax?: number;
  /** Share of an engine's tokens that a move must win; a hundredth when left out. */
  readonly gainShareMin?: number;
  /** Share of an engine's tokens that the last replica of a model is worth, asked for or not. */
  readonly lastReplicaShare?: number;
}
