/**
 * The command-line tool for operators.
 *
 * @packageDocumentation
 */
export { createCli } from './lib/create-cli.js';
export { LogFollower } from './lib/log-follower.js';
export { planChanges } from './lib/plan-changes.js';
