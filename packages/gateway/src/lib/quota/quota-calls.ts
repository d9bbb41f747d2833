/** What identifies a call, so that one that arrives after a later one is ignored. */
interface CallOrder {
  /** Wall-clock time at which the calling process started, in milliseconds. */
  readonly startedMs: number;
  /** Number of the call, increasing from the start of the process. */
  readonly sequence: number;
}

/** A `UnitsAsk` on the wire: asked, held, waiting, needed, stock, largest. */
export type WireAsk = readonly [number, number, number, number, number, number];

/** A `UnitsAnswer` on the wire: units, and the wait in milliseconds. */
export type WireAnswer = readonly [number, number];

/** A `QuotaReport` on the wire: rate, room, demand, largest. */
export type WireReport = readonly [number, number, number, number];

/** A `QuotaLease` on the wire: rate, room. */
export type WireLease = readonly [number, number];

/** Calls between instances for quotas, by method: parameters and answers. Maps are by workspace. */
export interface QuotaCalls {
  /** An instance asks a pool for units. */
  readonly units: {
    readonly params: CallOrder & { readonly asks: Readonly<Record<string, WireAsk>> };
    /** Without `answers`, the instance is no pool. */
    readonly answer: { readonly answers?: Readonly<Record<string, WireAnswer>> };
  };
  /** A pool asks the allocator for its leases. */
  readonly lease: {
    readonly params: CallOrder & {
      readonly reports: Readonly<Record<string, WireReport>>;
      /** Whether the pool gives up what it holds. */
      readonly isLeaving: boolean;
    };
    /** Without `leases`, the instance is not the allocator. */
    readonly answer: { readonly leases?: Readonly<Record<string, WireLease>> };
  };
}
