import type { Endpoint } from '../feed/endpoint.js';
import type { OwnedEngineState } from '../peer/owned-engine-state.js';
import type { LoadContext } from './load-context.js';

type Load = OwnedEngineState['loading'][number];

/**
 * @param endpoint - an engine
 * @param context - what is known of its loads
 * @returns its loads that are requested or in progress
 */
export function loadsInProgress(
  { id }: Endpoint,
  { nowMs, engineState, pendingOf }: LoadContext,
): readonly Load[] {
  const loading = engineState(id)?.loading ?? [];
  const pending = pendingOf(id);
  if (!pending || loading.some(({ model }) => model === pending.load)) return loading;
  return [...loading, { model: pending.load, remainingMs: pending.readyMs - nowMs() }];
}
