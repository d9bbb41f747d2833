/** What decides the place of a request among those that wait for an endpoint. */
export interface WaitingRequest {
  /** Priority of its workspace or route; 0 is served first. */
  readonly priority: number;
  /** Requests of the same group, such as a workspace's on a route, share the room with those of other groups. */
  readonly group: string;
  /** Monotonic time at which its latency objective ends, in milliseconds. */
  readonly dueMs: number;
  /** Expected time from its dispatch until its caller gets the first part of the answer, in milliseconds. */
  readonly startMs: number;
  /** Time for which it is expected to occupy an endpoint, in milliseconds. */
  readonly workMs: number;
}
