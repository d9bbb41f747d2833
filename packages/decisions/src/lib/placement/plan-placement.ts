import type { PlacementInput } from './placement-input.js';
import type { PlacementPlan } from './placement-plan.js';
import { placementSteps } from './placement-steps.js';

/**
 * Plans one round of placement: replicas for models that have none, and further replicas for models
 * whose demand exceeds what their engines can serve. Moves with a small gain are not made, models
 * are unloaded only to make room for a load, and the plan is deterministic: every instance derives
 * the same plan from the same input.
 *
 * @param input - models, engines and the number of moves that may begin
 * @returns the moves, in the order in which to make them
 */
export function planPlacement(input: PlacementInput): PlacementPlan {
  const steps = placementSteps(input);
  let step = steps.next();
  while (!step.done) step = steps.next();
  return step.value;
}
