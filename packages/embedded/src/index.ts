/**
 * A whole deployment in one process, for the demo, tests and benchmarks.
 *
 * @packageDocumentation
 */
export { Deployment } from './lib/deployment.js';
