/**
 * Structured logs and metrics.
 *
 * @packageDocumentation
 */
export { BoundedLogStream } from './lib/bounded-log-stream.js';
export { logUnexpectedErrors } from './lib/log-unexpected-errors.js';
export { MetricsRegistry } from './lib/metrics-registry.js';
export { PartLogger } from './lib/part-logger.js';
