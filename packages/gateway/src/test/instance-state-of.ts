import type { InstanceState } from '../lib/peer/instance-state.js';

/**
 * @param more - properties that matter to a test
 * @returns the state of an instance without shares, overridden by those properties
 */
export const instanceStateOf = (more: Partial<InstanceState>): InstanceState => ({
  instance: 'previous',
  failureDomain: 'a',
  host: '127.0.0.1',
  port: 1,
  sequence: 1,
  startedMs: 1,
  uptimeMs: 60_000,
  isStopping: false,
  configVersion: 1,
  loads: {},
  demand: {},
  instanceCount: 1,
  urgentModels: [],
  awaited: [],
  usedAdapters: {},
  generation: 4,
  hasLapsed: false,
  shares: [],
  orderAgesMs: {},
  engines: {},
  engineEnds: {},
  owners: [],
  ...more,
});
