import type { ConfigPage } from './config-page.js';
import type { EndpointPage } from './endpoint-page.js';

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
