/** What an instance is told when it starts. */
export interface GatewaySettings {
  readonly instance: string;
  readonly failureDomain: string;
  /** IP number that other instances reach this one at. */
  readonly host: string;
  readonly callerAddress: { readonly host: string; readonly port: number };
  readonly readyAddress: { readonly host: string; readonly port: number };
  readonly peerAddress: { readonly host: string; readonly port: number };
  readonly metricsPort: number;
  /** Key that instances prove to each other. */
  readonly peerSecret: string;
  /** Where other instances may listen, to begin with. */
  readonly seeds: readonly { readonly host: string; readonly port: number }[];
  /** Shares that the endpoints are divided into; each has one owner. */
  readonly shareCount: number;
  /** Shortest time to live that the store allows, in milliseconds. */
  readonly leaseTtlMinMs: number;
  /** Time that must pass between orders of two owners, in milliseconds. */
  readonly handoverMs: number;
  /** Time from SIGTERM until the process is killed, in milliseconds. */
  readonly graceMs: number;
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Repeats that are free in a window, over all instances; a count. */
  readonly retryFreeCount: number;
  /** Window of the weight store's limit, in milliseconds, and what may go beyond it. */
  readonly loadWindowMs: number;
  readonly loadSlackRatio: number;
  /** Least time that callers are told to wait, in milliseconds. */
  readonly retryAfterMinMs: number;
}
