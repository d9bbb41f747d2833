/** An instance or an endpoint on the platform's list of instances. */
export interface ListedInstance {
  readonly name: string;
  readonly role: 'entry' | 'endpoint';
  readonly host: string;
  /** Port for heartbeats (UDP) and streams (TCP) between instances. */
  readonly peerPort: number;
  readonly failureDomain: string;
  readonly region: string;
  /** Size of the machine relative to the smallest one, which has size 1. */
  readonly size: number;
  readonly state: 'live' | 'leaving';
}
