/**
 * One instance of the serving system, as a class and as the program `chervilseamd`.
 *
 * @packageDocumentation
 */
export { Daemon } from './lib/daemon.js';
export { parseSettings } from './lib/settings/parse-settings.js';
export type { Settings } from './lib/settings/settings.js';
