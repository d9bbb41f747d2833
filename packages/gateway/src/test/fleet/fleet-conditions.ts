/** How the simulated store and network treat calls, and which instances run. Times are in milliseconds. */
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
   * @param from - the instance that sends an update
   * @param to - the instance that receives it
   * @param nowMs - when it is sent
   * @returns how long the update and its answer are on their way each; `undefined` when they are lost
   */
  readonly update: (from: string, to: string, nowMs: number) => number | undefined;
  /** @returns whether the answer to an update that arrives is lost */
  readonly isAnswerLost?: (from: string, to: string, nowMs: number) => boolean;
  /** @returns time until a second copy of an update arrives after the first; `undefined` when there is none */
  readonly copyAfterMs?: (from: string, to: string, nowMs: number) => number | undefined;
  /** @returns when an instance that stands still goes on; a time in the past for one that runs */
  readonly standsStillUntilMs?: (instance: string) => number;
  /** @returns whether the store has been sound for long enough; always by default */
  readonly isStoreStable?: (nowMs: number) => boolean;
  /** @returns whether the bound for leaving endpoints holds for an instance; always by default */
  readonly isBound?: (instance: string, nowMs: number) => boolean;
}
