import type { ListedInstance } from './listed-instance.js';

/** What the system asks of the platform's list of instances. */
export interface InstanceListPort {
  /**
   * @returns the list, which may lag
   * @throws any error while the platform cannot be reached
   */
  list(): Promise<readonly ListedInstance[]>;
}
