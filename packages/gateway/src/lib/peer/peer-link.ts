import type { InstanceState } from './instance-state.js';
import type { PeerAddress } from './peer-address.js';
import type { StateSender } from './state-sender.js';

/** What this instance knows of another one that it may call. */
export interface PeerLink {
  readonly address: PeerAddress;
  /** Whether the instance is known to own no shares. */
  isFollower: boolean;
  /** Whether the instance is known to be in the failure domain of this one. */
  isLocal: boolean;
  /** When the last state was sent, in milliseconds. */
  sentMs: number;
  /** When the instance may be called again after a failed call, in milliseconds. */
  retryMs: number;
  /** When the instance last answered, or was added, in milliseconds. */
  answeredMs: number;
  isCalling: boolean;
  /** Sends this instance's states to the other one. */
  readonly sender: StateSender<InstanceState>;
  /** Version of this instance's state that the other one has acknowledged on the current connection. */
  acknowledged?: number;
}
