/**
 * Runs a complete deployment in one process, for the demo, the tests and the benchmarks.
 *
 * @packageDocumentation
 */
export { Deployment } from './lib/deployment.js';
