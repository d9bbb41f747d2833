import type { EndpointLoad } from './endpoint-load.js';
import type { StateSums } from './state-sums.js';

type Parts = readonly StateSums[];
type Counts = Record<string, number>;

const unionOf = (lists: readonly (readonly string[])[]): string[] => [...new Set(lists.flat())];

const addTo = (sums: Counts, counts: Readonly<Counts>): Counts => {
  const totals = sums;
  Object.entries(counts).forEach(([name, count]) => {
    totals[name] = (totals[name] ?? 0) + count;
  });
  return totals;
};

const demandOf = (parts: Parts): Counts =>
  parts.reduce((sums, { demand }) => addTo(sums, demand), {});

/**
 * Aggregates one part of the states of instances, which may themselves be aggregates: totals, and for lists the union
 * without duplicates.
 */
export const sumOf = {
  instanceCount: (parts: Parts): number =>
    parts.reduce((sum, { instanceCount }) => sum + instanceCount, 0),

  loads(parts: Parts): Record<string, EndpointLoad> {
    const sums: Record<string, EndpointLoad> = {};
    parts.forEach(({ loads }) =>
      Object.entries(loads).forEach(([id, load]) => {
        const known = sums[id] ?? { count: 0, unreadTokenCount: 0 };
        sums[id] = {
          count: known.count + load.count,
          unreadTokenCount: known.unreadTokenCount + load.unreadTokenCount,
          heldTokenCount: (known.heldTokenCount ?? 0) + (load.heldTokenCount ?? 0),
          ...((known.runs ?? load.runs) && { runs: addTo({ ...known.runs }, load.runs ?? {}) }),
        };
      }),
    );
    return sums;
  },

  demand: demandOf,

  // Means over the demand, rounded so that they are published anew only when they have changed noticeably.
  lossWeights(parts: Parts): Counts {
    const demand = demandOf(parts);
    const losses = parts.reduce((sums: Counts, part) => {
      const weighted = Object.entries(part.demand).map(
        ([model, value]) => [model, value * (part.lossWeights?.[model] ?? 1)] as const,
      );
      return addTo(sums, Object.fromEntries(weighted));
    }, {});
    return Object.fromEntries(
      Object.entries(losses).map(([model, loss]) => [
        model,
        Number((loss / demand[model]).toFixed(1)),
      ]),
    );
  },

  urgentModels: (parts: Parts): string[] => unionOf(parts.map(({ urgentModels }) => urgentModels)),

  // An instance of an earlier version knows only the latency-critical ones.
  lateAfterLoadModels: (parts: Parts): string[] =>
    unionOf(
      parts.map(({ lateAfterLoadModels, urgentModels }) => lateAfterLoadModels ?? urgentModels),
    ),

  awaited: (parts: Parts): string[] => unionOf(parts.map(({ awaited }) => awaited)),

  returning: (parts: Parts): string[] => unionOf(parts.map(({ returning }) => returning ?? [])),

  returningSoon: (parts: Parts): string[] =>
    unionOf(parts.map(({ returningSoon }) => returningSoon ?? [])),
};
