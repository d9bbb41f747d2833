import type { SimPolicy } from './sim-policy.js';
import type { SimRequest } from './sim-request.js';
import type { SimWorld } from './sim-world.js';

/** Time for the last requests to end after the last arrival, in milliseconds. */
const SETTLE_MS = 200_000;

interface LoadOptions {
  /** Arrivals per second, by virtual time. */
  readonly ratePerSecond: (atMs: number) => number;
  /** Relative popularity of the models, by virtual time. */
  readonly weights: (atMs: number) => readonly number[];
  /** Number of tokens of the next request; `undefined` for a random number. */
  readonly tokens?: () => number | undefined;
  /** Time during which requests arrive, in milliseconds. */
  readonly durationMs: number;
}

/** Longest time for which the arrival rate is taken as constant, in milliseconds. */
const STEP_MS = 500;

function pickModel(world: SimWorld, weights: readonly number[]): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let remainingWeight = world.random.unit() * total;
  const found = weights.findIndex((weight) => {
    remainingWeight -= weight;
    return remainingWeight < 0;
  });
  return found < 0 ? weights.length - 1 : found;
}

/**
 * Sends requests at random times (a Poisson process) and runs the world until all have ended.
 *
 * @param world - the simulated deployment
 * @param policy - decides where requests are served
 * @param options - arrival rate, models and duration
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
  const scheduleNext = (): void => {
    if (clock.nowMs >= durationMs) return;
    const rate = Math.max(1e-6, ratePerSecond(clock.nowMs));
    const gapMs = random.exponential(1_000 / rate);
    // A gap longer than a step ends with the step, without an arrival; a new one is drawn at the rate
    // of that time.
    const isBeyondStep = gapMs > STEP_MS;
    clock.after(isBeyondStep ? STEP_MS : gapMs, () => {
      if (!isBeyondStep) arrive();
      scheduleNext();
    });
  };
  scheduleNext();
  clock.run(durationMs + SETTLE_MS);
  return world.requests;
}
