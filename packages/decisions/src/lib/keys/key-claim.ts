/** A wish to run one attempt under a key. */
export interface KeyClaim {
  readonly key: string;
  readonly digest: string;
  readonly attempt: string;
  readonly dispatcher: string;
}
