import { parseArgs } from 'node:util';
import { FleetTrouble } from './fleet-trouble.js';
import { playFleet } from './play-fleet.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    count: { type: 'string', default: '1' },
    instances: { type: 'string', default: '32' },
    seconds: { type: 'string', default: '50' },
    bound: { type: 'string', default: '3000' },
    troubles: { type: 'string', default: Object.values(FleetTrouble).join() },
  },
});

/** Share of the instances that own shares, as far as there are any to own. */
const OWNER_SHARE = 0.25;
const OWNER_COUNT_MAX = 24;
const MS_PER_SECOND = 1_000;

const instanceCount = Number(values.instances);
const owners = Math.max(1, Math.min(OWNER_COUNT_MAX, Math.round(OWNER_SHARE * instanceCount)));
const troubles = values.troubles.split(',') as FleetTrouble[];
const unknown = troubles.filter((trouble) => !(trouble in FleetTrouble));
if (unknown.length > 0) throw new Error(`unknown trouble ${unknown.join()}`);

for (let offset = 0; offset < Number(values.count); offset += 1) {
  const seed = Number(values.seed) + offset;
  const startMs = performance.now();
  // eslint-disable-next-line no-await-in-loop
  const { late, different, counts } = await playFleet({
    owners,
    followers: instanceCount - owners,
    leaveBoundMs: Number(values.bound),
    troubles,
    seed,
    troubledMs: MS_PER_SECOND * Number(values.seconds),
  });
  const afterMs = Math.round(performance.now() - startMs);
  const findings = [...late, ...different.map((name) => `${name} uses other endpoints at the end`)];
  process.stdout.write(
    `${JSON.stringify({ seed, instanceCount, troubles, findings, counts, afterMs })}\n`,
  );
  if (findings.length > 0) process.exitCode = 1;
}
