/** An entry of the platform's list of instances. */
export interface ListedInstance {
  readonly name: string;
  readonly role: 'entry' | 'endpoint';
  readonly host: string;
  readonly peerPort: number;
  readonly failureDomain: string;
  readonly region: string;
  /** Relative size of the machine; 1 is the smallest. */
  readonly size: number;
  readonly state: 'live' | 'leaving';
}
