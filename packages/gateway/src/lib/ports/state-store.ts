import type { ConfigPage } from './config-page.js';
import type { EndpointPage } from './endpoint-page.js';

/**
 * The platform's store. Every call throws when the store does not answer or refuses the call; a `StoreBusyError` when it
 * is sound and only gets too many calls.
 *
 * The store may come back from a copy that is some seconds old, and starts a new era then. Offsets and generations are
 * ordered by its era first (see `eraNumber`). A read from an offset of an earlier era reads the newest configuration or
 * the whole list instead.
 */
export interface StateStore {
  /**
   * Reads the configuration.
   *
   * @param fromOffset - log offset where the last read ended; `undefined` for the first read
   * @param waitMs - longest time to wait for a change, in milliseconds
   */
  readConfig(fromOffset: number | undefined, waitMs: number): Promise<ConfigPage>;
  /**
   * Reads the list of endpoints.
   *
   * @param fromOffset - log offset where the last read ended; `undefined` to read the whole list
   */
  readEndpoints(fromOffset: number | undefined): Promise<EndpointPage>;
  /**
   * Joins the group of instances, or renews the membership. The group divides the endpoints into shares
   * (partitions), each owned by one member.
   *
   * @param member - name of this instance in the group
   * @param ttlMs - time after which a member that does not renew is removed, in milliseconds
   * @param generation - last generation of the group that this instance knows, or 0
   * @returns the current generation and the shares that this instance owns in it
   */
  join(
    member: string,
    ttlMs: number,
    generation: number,
  ): Promise<{ readonly generation: number; readonly shares: readonly number[] }>;
  /** Leaves the group, so that other members own its shares. */
  leave(member: string): Promise<void>;
  /** @returns names of the members of the group that own shares */
  members(): Promise<readonly string[]>;
}
