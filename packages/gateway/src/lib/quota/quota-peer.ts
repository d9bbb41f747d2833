import type { PeerAddress } from '../peer/peer-address.js';

/** An instance that may be asked about quotas. */
export interface QuotaPeer extends PeerAddress {
  readonly instance: string;
  readonly failureDomain: string;
  /** Speed of its processor as a share of a core. */
  readonly processorShare?: number;
}
