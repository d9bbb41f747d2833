/** An instance that may be asked about quotas. */
export interface QuotaPeer {
  readonly instance: string;
  readonly failureDomain: string;
  readonly host: string;
  readonly port: number;
  /** Speed of its processor as a share of a core. */
  readonly processorShare?: number;
}
