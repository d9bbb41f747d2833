import type { RunTarget } from './run-target.js';

/**
 * @param target - the route of a request, and its caller's workspace
 * @returns priority of the request: its workspace's takes precedence over its route's; 0 is served first
 */
export const priorityOf = ({ route, access }: Pick<RunTarget, 'route' | 'access'>): number =>
  access?.workspace?.priority ?? route.priority;
