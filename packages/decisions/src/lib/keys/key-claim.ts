/** A request for permission to run one attempt under an idempotency key. */
export interface KeyClaim {
  readonly key: string;
  /** Digest of the request, so that the key cannot be reused for a different one. */
  readonly digest: string;
  /** Unique id of the attempt. */
  readonly attempt: string;
  /** Id of the run of the instance that will dispatch the attempt. */
  readonly dispatcher: string;
}
