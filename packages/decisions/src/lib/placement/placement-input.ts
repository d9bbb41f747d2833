/** A model, as input to placement. */
interface PlacementModel {
  readonly name: string;
  /** Memory for its weights and the KV-cache reserve, in bytes. */
  readonly bytes: number;
  /** Whether a policy keeps the model resident: at least one ready replica must remain. */
  readonly mustStayResident: boolean;
  /** Whether requests wait for the model: it gets a replica even if the move gains nothing. */
  readonly hasWaitingRequests?: boolean;
  /**
   * Whether the model is known to be latency-tolerant: its callers can wait for a load. Not known
   * for a model without demand.
   */
  readonly isLatencyTolerant?: boolean;
  /** Whether the callers of a latency-tolerant model are served late if they wait for a load. */
  readonly isLateAfterLoad?: boolean;
  /** Time for which callers have requested the model while it had no replica, in milliseconds; 0 by default. */
  readonly waitedMs?: number;
  /**
   * Whether callers wait for the model, or return before a load that begins now is done; by default the same as
   * `hasWaitingRequests`.
   */
  readonly hasCallersSoon?: boolean;
  /** Whether refused callers of the model are due to retry: its last replica is kept for them. */
  readonly hasReturningCallers?: boolean;
  /** Whether the model was loaded only since there was free memory, and no request has asked for it since. */
  readonly isSpeculative?: boolean;
  /** Requested tokens per second. */
  readonly demand: number;
  /** What its callers lose for each token that is not served, compared to the mean; 1 by default. */
  readonly lossWeight?: number;
  /** Tokens per second to prepare for; defaults to the demand. */
  readonly forecast?: number;
}

/** An engine, as input to placement. */
interface PlacementEngine {
  readonly name: string;
  /** Failure domain, over which the replicas of a model are spread where it costs nothing else. */
  readonly failureDomain?: string;
  readonly capacityBytes: number;
  /** Throughput at which it still meets the target time between tokens, in tokens per second. */
  readonly tokensPerSecond: number;
  /** Models that are resident or being loaded. */
  readonly models: readonly string[];
  /** The subset of `models` that can serve now. */
  readonly ready: readonly string[];
  /** Memory that the ledger counts for anything but `models`, in bytes. */
  readonly otherBytes: number;
  /** Load time of each model on this engine, in milliseconds; 0 for a missing model. */
  readonly loadMsByModel?: Pick<ReadonlyMap<string, number>, 'get'>;
  /**
   * Expected time to unload each model from this engine, which waits for the runs on it, in milliseconds; 0
   * for a missing model.
   */
  readonly unloadMsByModel?: Pick<ReadonlyMap<string, number>, 'get'>;
}

/** Input of one placement round. */
export interface PlacementInput {
  readonly models: readonly PlacementModel[];
  readonly engines: readonly PlacementEngine[];
  /** Largest number of moves that may begin in this round. */
  readonly moveBudget: number;
  /** Time without a replica after which a model is in turn, in milliseconds; unlimited by default. */
  readonly turnMs?: number;
  /** Largest number of moves for latency-tolerant models in turn; defaults to `moveBudget`. */
  readonly turnMoveMax?: number;
  /**
   * Largest loss that a move may cause by unloading other models, as a share of the engine's tokens
   * per second; unlimited by default.
   */
  readonly lossShareMax?: number;
  /** The same limit for moves that load a latency-tolerant model; defaults to `lossShareMax`. */
  readonly latencyTolerantLossShareMax?: number;
  /** Typical time to load a model from the weight store, in milliseconds; 1,000 by default. */
  readonly typicalLoadMs?: number;
  /** Least gain of a move, as a share of the engine's tokens per second; 0.01 by default. */
  readonly gainShareMin?: number;
  /**
   * Value of the last replica of a model that isn't latency-tolerant, with or without demand, as a
   * share of the engine's tokens per second; 0 by default.
   */
  readonly lastReplicaShare?: number;
  /**
   * The same for a model without demand when it would make room for one that has no replica and that
   * requests wait for; `lastReplicaShare` by default.
   */
  readonly idleReplicaShare?: number;
}
