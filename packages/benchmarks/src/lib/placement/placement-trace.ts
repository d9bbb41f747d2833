import { runPlacement } from './run-placement.js';

const END_S = 300;

/** Memory of an engine from a time on. */
interface MemoryPoint {
  readonly engine: string;
  readonly atS: number;
  readonly gigabytes: number;
}

/**
 * Runs our placement once and keeps what each engine's memory held.
 *
 * @param shape - the deployment
 * @param seed - seed of the run
 * @returns a point for each change, and the capacity
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
