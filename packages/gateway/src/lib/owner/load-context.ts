import type { OwnedEngineState } from '../peer/owned-engine-state.js';

/** What is known of the engines' loads. */
export interface LoadContext {
  readonly nowMs: () => number;
  /** State that the owner of an engine published, or `undefined` while no owner is reachable. */
  readonly engineState: (endpoint: string) => OwnedEngineState | undefined;
  /** Move of an engine that its owner may not have published yet, and when its model is expected to serve. */
  readonly pendingOf: (
    endpoint: string,
  ) => { readonly load: string; readonly readyMs: number } | undefined;
}
