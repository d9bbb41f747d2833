/** Why a request is withheld: each engine that began to answer a prompt like it has ended. */
export interface Withheld {
  /** The part of the prompt that most ends have in common. */
  readonly promptPart: string;
  /** Number of engines that ended. */
  readonly endCount: number;
  /** Number of different prompts under which they ended. */
  readonly promptCount: number;
  /** Time until one request may be sent to see whether the cause is gone, in milliseconds; 0 when due. */
  readonly trialInMs: number;
}
