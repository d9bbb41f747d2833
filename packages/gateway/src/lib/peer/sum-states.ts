import type { EndpointLoad } from './endpoint-load.js';
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
>;

const unionOf = (lists: readonly (readonly string[])[]): string[] => [...new Set(lists.flat())];

const sumOf = (
  left: Readonly<Record<string, number>>,
  right: Readonly<Record<string, number>>,
): Record<string, number> => {
  const sums = { ...left };
  Object.entries(right).forEach(([name, count]) => {
    sums[name] = (sums[name] ?? 0) + count;
  });
  return sums;
};

/**
 * @param parts - states of instances, which may themselves be aggregates
 * @returns the totals, and for lists the union without duplicates
 */
export function sumStates(parts: readonly StateSums[]): StateSums {
  const loads: Record<string, EndpointLoad> = {};
  const demand: Record<string, number> = {};
  const losses: Record<string, number> = {};
  parts.forEach((part) => {
    Object.entries(part.loads).forEach(
      ([id, { count, unreadTokenCount, heldTokenCount = 0, runs }]) => {
        const known = loads[id] ?? { count: 0, unreadTokenCount: 0 };
        loads[id] = {
          count: known.count + count,
          unreadTokenCount: known.unreadTokenCount + unreadTokenCount,
          heldTokenCount: (known.heldTokenCount ?? 0) + heldTokenCount,
          ...((known.runs ?? runs) && { runs: sumOf(known.runs ?? {}, runs ?? {}) }),
        };
      },
    );
    Object.entries(part.demand).forEach(([model, value]) => {
      demand[model] = (demand[model] ?? 0) + value;
      losses[model] = (losses[model] ?? 0) + value * (part.lossWeights?.[model] ?? 1);
    });
  });
  return {
    instanceCount: parts.reduce((sum, { instanceCount }) => sum + instanceCount, 0),
    loads,
    demand,
    lossWeights: Object.fromEntries(
      Object.entries(losses).map(([model, loss]) => [
        model,
        Number((loss / demand[model]).toFixed(1)),
      ]),
    ),
    urgentModels: unionOf(parts.map(({ urgentModels }) => urgentModels)),
    // An instance of an earlier version knows only the latency-critical ones.
    lateAfterLoadModels: unionOf(
      parts.map(({ lateAfterLoadModels, urgentModels }) => lateAfterLoadModels ?? urgentModels),
    ),
    awaited: unionOf(parts.map(({ awaited }) => awaited)),
  };
}
