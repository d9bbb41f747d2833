import { runPlacement } from './run-placement.js';

const END_S = 300;

/** Memory in use at an engine from a point in time on. */
interface MemoryPoint {
  readonly engine: string;
  readonly atS: number;
  readonly gigabytes: number;
}

/**
 * Runs the placement of this system once and returns the memory in use at each engine over time.
 *
 * @param shape - the deployment
 * @param seed - seed of the run
 * @returns a point for each change and one for the end, and the capacity of an engine
 */
export function placementTrace(
  shape: 'kovacic' | 'omslagsverk',
  seed: number,
): { readonly points: readonly MemoryPoint[]; readonly capacityBytes: number } {
  const { placement } = runPlacement(shape, 'chervilseam', seed);
  const points = placement.memoryHistory.map(({ engine, atMs, bytes }) => ({
    engine: `engine-${String(engine).padStart(2, '0')}`,
    atS: atMs / 1_000,
    gigabytes: bytes / 1e9,
  }));
  const last = new Map(points.map((point) => [point.engine, point]));
  const ends = [...last.values()].map((point) => ({ ...point, atS: END_S }));
  return { points: [...points, ...ends], capacityBytes: placement.capacityBytes };
}
