/**
 * Interfaces to the platform's log and its list of instances, and clients that implement them over
 * HTTP.
 *
 * @packageDocumentation
 */
export { HttpInstanceList } from './lib/http-instance-list.js';
export { HttpLog } from './lib/http-log.js';
export type { InstanceListPort } from './lib/instance-list-port.js';
export type { ListedInstance } from './lib/listed-instance.js';
export type { LogPage } from './lib/log-page.js';
export type { LogPort } from './lib/log-port.js';
export type { LogRecord } from './lib/log-record.js';
