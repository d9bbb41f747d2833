import type { EndpointRecord, ServingConfig } from '@chervilseam/model';

/** A change in the list of endpoints; without a record the endpoint has left. */
export interface EndpointChange {
  readonly id: string;
  readonly record?: EndpointRecord;
}

/** What a read of the list of endpoints gave. */
export interface EndpointPage {
  /** Set when `changes` is the whole list and what it leaves out is gone. */
  readonly isWhole: boolean;
  readonly changes: readonly EndpointChange[];
  /** Where the next read begins. */
  readonly nextOffset: number;
}

/** What a read of the configuration gave. */
export interface ConfigPage {
  readonly config?: ServingConfig;
  /** Where the next read begins. */
  readonly nextOffset: number;
}

/** The store of the platform. Every call throws when it got no answer or a refusal. */
export interface StateStore {
  /**
   * @param fromOffset - where the last read ended; left out for the first one
   * @param waitMs - how long to wait for a change, in milliseconds
   */
  readConfig(fromOffset: number | undefined, waitMs: number): Promise<ConfigPage>;
  /** @param fromOffset - where the last read ended; left out for the whole list */
  readEndpoints(fromOffset: number | undefined): Promise<EndpointPage>;
  /**
   * Joins the group of instances, or stays in it.
   *
   * @param member - this instance
   * @param ttlMs - time after which a silent member is dropped, in milliseconds
   * @param generation - generation last heard of, or 0
   * @returns the generation and the shares of the endpoints that belong to this instance
   */
  join(
    member: string,
    ttlMs: number,
    generation: number,
  ): Promise<{ readonly generation: number; readonly shares: readonly number[] }>;
  /** Leaves the group. */
  leave(member: string): Promise<void>;
  /** @returns the members of the group that own shares */
  members(): Promise<readonly string[]>;
}
