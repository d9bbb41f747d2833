import type { InstanceState } from './instance-state.js';

/** Parts of an instance's state that are aggregated over several instances. */
export type StateSums = Pick<
  InstanceState,
  | 'instanceCount'
  | 'loads'
  | 'demand'
  | 'lossWeights'
  | 'urgentModels'
  | 'lateAfterLoadModels'
  | 'awaited'
  | 'returning'
  | 'returningSoon'
>;
