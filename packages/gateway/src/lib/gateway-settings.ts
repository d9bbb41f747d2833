/** Settings of an instance. */
export interface GatewaySettings {
  /** Name of the instance. */
  readonly instance: string;
  readonly failureDomain: string;
  /** IP address of the instance; its metrics server listens there. */
  readonly host: string;
  /** Where to listen for callers. */
  readonly callerAddress: { readonly host: string; readonly port: number };
  /** Where to listen for readiness checks of the load balancer. */
  readonly readyAddress: { readonly host: string; readonly port: number };
  /** Where to listen for other instances. */
  readonly peerAddress: { readonly host: string; readonly port: number };
  readonly metricsPort: number;
  /** Speed of the instance's processor as a share of a core. */
  readonly processorShare: number;
  /** Memory after which the process is ended, in bytes. */
  readonly memoryBytes: number;
  /** Number of sockets that the process may have open; Infinity if the platform sets no limit. */
  readonly socketCountMax: number;
  /** Shared secret with which instances authenticate to each other. */
  readonly peerSecret: string;
  /** Addresses of possible other instances, which are contacted first to find the rest. */
  readonly seeds: readonly { readonly host: string; readonly port: number }[];
  /** Number of shares (partitions) that the endpoints are divided into; each share has one owner. */
  readonly shareCount: number;
  /** Shortest time to live that the store allows for a membership, in milliseconds. */
  readonly leaseTtlMinMs: number;
  /** Time that must pass between the last order of an owner and the first of the next, in milliseconds. */
  readonly handoverMs: number;
  /** Time within which no request may reach an endpoint that leaves, in milliseconds. */
  readonly leaveBoundMs: number;
  /** Grace period: time from SIGTERM until the process is killed, in milliseconds. */
  readonly graceMs: number;
  /** Retry budget: number of retries allowed for each request in the window; a fraction. */
  readonly retryRatio: number;
  /** Window of the retry budget, in milliseconds. */
  readonly retryWindowMs: number;
  /** Number of further retries allowed in a window, over all instances together. */
  readonly retryFreeCount: number;
  /** Window in which loads from the weight store are counted against its limit, in milliseconds. */
  readonly loadWindowMs: number;
  /** Factor on the number of loads that the limit allows in a window; 1 for exactly that number. */
  readonly loadSlackRatio: number;
  /** Window in which the use of a workspace's quota is bounded, in milliseconds. */
  readonly quotaWindowMs: number;
  /** Fraction by which a quota's rate and burst may be exceeded in a window. */
  readonly quotaOverRatio: number;
  /** Units by which a quota may be exceeded in a window in addition, over all instances together. */
  readonly quotaSlackCount: number;
  /** Lower bound of `Retry-After`, in milliseconds. */
  readonly retryAfterMinMs: number;
}
