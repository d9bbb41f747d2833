import type { SimPolicy } from './sim-policy.js';
import type { SimRequest } from './sim-request.js';
import type { SimWorld } from './sim-world.js';

const SETTLE_MS = 200_000;

interface LoadOptions {
  /** Requests a second at a time. */
  readonly ratePerSecond: (atMs: number) => number;
  /** Weights of the models at a time. */
  readonly weights: (atMs: number) => readonly number[];
  /** Chooses tokens of some requests; `undefined` leaves the usual length. */
  readonly tokens?: () => number | undefined;
  readonly durationMs: number;
}

const STEP_MS = 500;

function pickModel(world: SimWorld, weights: readonly number[]): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let rest = world.random.unit() * total;
  const found = weights.findIndex((weight) => {
    rest -= weight;
    return rest < 0;
  });
  return found < 0 ? weights.length - 1 : found;
}

/**
 * Sends requests at random times and runs until all are over.
 *
 * @param world - the run
 * @param policy - what decides
 * @param options - rates and models
 * @returns all requests
 */
export function runLoad(
  world: SimWorld,
  policy: SimPolicy,
  { ratePerSecond, weights, tokens, durationMs }: LoadOptions,
): readonly SimRequest[] {
  const { clock, random, shape } = world;
  const arrive = (): void => {
    const model = pickModel(world, weights(clock.nowMs));
    const request = world.createRequest(model, { tokens: tokens?.() });
    clock.after(shape.callerMs, () => policy.submit(request));
  };
  const next = (): void => {
    if (clock.nowMs >= durationMs) return;
    const rate = Math.max(1e-6, ratePerSecond(clock.nowMs));
    const gapMs = random.exponential(1_000 / rate);
    // A gap longer than a step is drawn anew from the rate of that time.
    const isLong = gapMs > STEP_MS;
    clock.after(isLong ? STEP_MS : gapMs, () => {
      if (!isLong) arrive();
      next();
    });
  };
  next();
  clock.run(durationMs + SETTLE_MS);
  return world.requests;
}
