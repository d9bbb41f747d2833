/** How the simulated store and network treat calls. Times are in milliseconds. */
export interface FleetConditions {
  /**
   * @param instance - the instance that reads the list
   * @param nowMs - when it calls
   * @returns how long the call and its answer are on their way, and whether the store refuses it or nothing is heard of it
   */
  readonly read: (
    instance: string,
    nowMs: number,
  ) => {
    readonly callMs: number;
    readonly answerMs: number;
    readonly isRefused?: boolean;
    readonly isLost?: boolean;
  };
  /**
   * @param from - the instance that sends a page
   * @param to - the instance that receives it
   * @param nowMs - when it is sent
   * @returns how long the page and its answer are on their way each; `undefined` when they are lost
   */
  readonly page: (from: string, to: string, nowMs: number) => number | undefined;
}
