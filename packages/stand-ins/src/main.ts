import { EngineStandIn } from './lib/engine-stand-in.js';
import { InstanceListStandIn } from './lib/instance-list-stand-in.js';
import { LogStandIn } from './lib/log-stand-in.js';
import { ServiceStandIn } from './lib/service-stand-in.js';
import { WeightStoreStandIn } from './lib/weight-store-stand-in.js';

/** Port of the first stand-in; the others take the following ones. */
const FIRST_PORT = Number(process.env.CHERVILSEAM_STAND_INS_PORT ?? 7800);
const GIGABYTE = 1e9;

const weights = new WeightStoreStandIn({ loadsPerSecond: 2, fullSpeedCount: 9, loadMs: 500 });
const standIns = {
  log: new LogStandIn({ retentionMs: 3_600_000 }),
  instances: new InstanceListStandIn(1_000),
  weights,
  engine: new EngineStandIn({
    residents: { 'model/die-assistant@1': 16 * GIGABYTE },
    reportLagMs: 1_000,
  }),
  service: new ServiceStandIn(),
};

const starts = Object.entries(standIns).map(async ([name, standIn], index) => {
  await standIn.listen(FIRST_PORT + index);
  process.stdout.write(`${name} ${standIn.url}\n`);
});
await Promise.all(starts);
