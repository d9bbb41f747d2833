import type { ListedInstance } from './listed-instance.js';

/** Interface to the platform's list of instances. */
export interface InstanceListPort {
  /**
   * @returns the instances; the list may be outdated
   * @throws any error while the platform cannot be reached
   */
  list(): Promise<readonly ListedInstance[]>;
}
