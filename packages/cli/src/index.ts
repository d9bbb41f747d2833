/**
 * The operator program.
 *
 * @packageDocumentation
 */
export { createCli } from './lib/create-cli.js';
export { LogFollower } from './lib/log-follower.js';
export { planChanges } from './lib/plan-changes.js';
