import type { Overview } from './overview.js';
import type { StateUpdate } from './state-update.js';

/** Answer to the state of another instance. */
export interface StateAnswer {
  /** Version of the state that the answering instance has now; left out when it needs a whole one. */
  readonly acknowledged?: number;
  /** Whether the answering instance owns shares. */
  readonly isOwner: boolean;
  /** For a follower of the answering instance, the overview of all others. */
  readonly overview?: StateUpdate<Overview>;
  /** For an instance that tried to follow one without shares: addresses of owners that it knows. */
  readonly owners?: readonly string[];
}
