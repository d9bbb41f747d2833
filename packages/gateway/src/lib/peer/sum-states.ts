import type { StateSums } from './state-sums.js';
import { sumOf } from './sum-of.js';

/**
 * @param parts - states of instances, which may themselves be aggregates
 * @returns the totals, and for lists the union without duplicates
 */
export const sumStates = (parts: readonly StateSums[]): StateSums => ({
  instanceCount: sumOf.instanceCount(parts),
  loads: sumOf.loads(parts),
  demand: sumOf.demand(parts),
  lossWeights: sumOf.lossWeights(parts),
  urgentModels: sumOf.urgentModels(parts),
  lateAfterLoadModels: sumOf.lateAfterLoadModels(parts),
  awaited: sumOf.awaited(parts),
  returning: sumOf.returning(parts),
  returningSoon: sumOf.returningSoon(parts),
});
