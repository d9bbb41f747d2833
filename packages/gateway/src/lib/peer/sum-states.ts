import type { EndpointLoad } from './endpoint-load.js';
import type { InstanceState } from './instance-state.js';

/** Parts of an instance's state that are aggregated over several instances. */
export type StateSums = Pick<
  InstanceState,
  'instanceCount' | 'loads' | 'demand' | 'urgentModels' | 'awaited'
>;

const unionOf = (lists: readonly (readonly string[])[]): string[] => [...new Set(lists.flat())];

/**
 * @param parts - states of instances, which may themselves be aggregates
 * @returns the totals, and for lists the union without duplicates
 */
export function sumStates(parts: readonly StateSums[]): StateSums {
  const loads: Record<string, EndpointLoad> = {};
  const demand: Record<string, number> = {};
  parts.forEach((part) => {
    Object.entries(part.loads).forEach(([id, { count, unreadTokenCount, heldTokenCount = 0 }]) => {
      const known = loads[id] ?? { count: 0, unreadTokenCount: 0 };
      loads[id] = {
        count: known.count + count,
        unreadTokenCount: known.unreadTokenCount + unreadTokenCount,
        heldTokenCount: (known.heldTokenCount ?? 0) + heldTokenCount,
      };
    });
    Object.entries(part.demand).forEach(([model, value]) => {
      demand[model] = (demand[model] ?? 0) + value;
    });
  });
  return {
    instanceCount: parts.reduce((sum, { instanceCount }) => sum + instanceCount, 0),
    loads,
    demand,
    urgentModels: unionOf(parts.map(({ urgentModels }) => urgentModels)),
    awaited: unionOf(parts.map(({ awaited }) => awaited)),
  };
}
