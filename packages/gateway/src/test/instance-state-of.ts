import type { InstanceState } from '../lib/peer/instance-state.js';

/** @returns a state of an instance without shares, with what a test needs */
export const instanceStateOf = (more: Partial<InstanceState>): InstanceState => ({
  instance: 'before',
  failureDomain: 'a',
  host: '127.0.0.1',
  port: 1,
  sequence: 1,
  startedMs: 1,
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
  owners: [],
  ...more,
});
