import { Deployment } from '@chervilseam/embedded';

/** Cost of one instance without any requests, and delays of changes in the group. */
interface IdleMeasure {
  /** Number of instances in the group. */
  readonly instances: number;
  /** Sent by an instance in heartbeats and on links to peers, after the start. */
  readonly sentBytesPerSecond: number;
  /** The same right after the start of all instances. */
  readonly startBytesPerSecond: number;
  /** Processor time of an instance, as a fraction of one core; includes the stand-ins. */
  readonly coreShare: number;
  /** Memory of an instance: growth of the heap divided by the number of instances. */
  readonly heapBytes: number;
  /** Time until all others know that an instance leaves, in milliseconds. */
  readonly leaveMs: number;
  /** Time until all others know that an instance has died, in milliseconds. */
  readonly deathMs: number;
  /** Time until a change of configuration is in force at all instances, in milliseconds. */
  readonly changeMs: number;
  /** Number of running instances that others believe dead, summed over all observers. */
  readonly falseDeaths: number;
}

/** Length of a measurement of traffic or processor time. */
const WINDOW_MS = 4_000;
/** Time for the membership changes of the start to reach all instances. */
const SETTLE_MS = 8_000;
const MEMBERSHIP = { periodMs: 500, pingTimeoutMs: 200, suspicionMs: 4_000 };

async function sentBytes(deployment: Deployment): Promise<number> {
  const texts = await Promise.all(
    [...deployment.daemons.values()].map(({ metrics }) => metrics.text()),
  );
  return texts.reduce((sum, text) => {
    const matches = [...text.matchAll(/(?:member|peer)_bytes_total\{direction="sent"\} (\S+)/g)];
    return sum + matches.reduce((part, match) => part + Number(match[1]), 0);
  }, 0);
}

const heapBytes = (): number => {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
};

async function timeUntil(deployment: Deployment, condition: () => boolean): Promise<number> {
  const startMs = performance.now();
  await deployment.waitFor('all daemons have received the change', condition);
  return performance.now() - startMs;
}

const allOthersSee = (deployment: Deployment, name: string, states: readonly string[]): boolean =>
  [...deployment.daemons]
    .filter(([other]) => other !== name)
    .every(([, { members }]) => members.some((m) => m.name === name && states.includes(m.state)));

/**
 * Starts real daemons in this process, connected over loopback, and measures the mean cost of one.
 *
 * @param instances - number of daemons
 * @returns the figures
 */
export async function measureIdle(instances: number): Promise<IdleMeasure> {
  const heapBefore = heapBytes();
  const deployment = await Deployment.start({
    instanceCount: instances,
    domainCount: 4,
    configToml: '[[model]]\nname = "m"\nweightsBytes = 1\n',
    settings: { membership: MEMBERSHIP, shutdown: { noticeMs: 0 } },
  });
  const startBytes = await sentBytes(deployment);
  await Deployment.sleep(WINDOW_MS);
  const startPhaseBytes = (await sentBytes(deployment)) - startBytes;
  await Deployment.sleep(SETTLE_MS);
  const heap = (heapBytes() - heapBefore) / instances;
  const bytesBefore = await sentBytes(deployment);
  const cpuBefore = process.cpuUsage();
  await Deployment.sleep(WINDOW_MS);
  const cpu = process.cpuUsage(cpuBefore);
  const bytes = (await sentBytes(deployment)) - bytesBefore;
  const falseDeaths = [...deployment.daemons.values()].reduce(
    (sum, { members }) => sum + members.filter(({ state }) => state === 'dead').length,
    0,
  );
  const changed = deployment.apply('[[model]]\nname = "n"\nweightsBytes = 1\n');
  const changeMs = await timeUntil(deployment, () =>
    [...deployment.daemons.values()].every(({ config }) => config.view.models.has('n')),
  );
  await changed;
  const leaver = [...deployment.daemons.values()][1];
  const leaving = leaver.stop();
  const leaveMs = await timeUntil(deployment, () =>
    allOthersSee(deployment, 'instance-2', ['leaving', 'left']),
  );
  await leaving;
  deployment.daemons.delete('instance-2');
  deployment.killDaemon('instance-3');
  const deathMs = await timeUntil(deployment, () =>
    allOthersSee(deployment, 'instance-3', ['dead']),
  );
  deployment.stop();
  const seconds = WINDOW_MS / 1_000;
  return {
    instances,
    sentBytesPerSecond: bytes / seconds / instances,
    startBytesPerSecond: startPhaseBytes / seconds / instances,
    coreShare: (cpu.user + cpu.system) / 1e6 / seconds / instances,
    heapBytes: heap,
    leaveMs,
    deathMs,
    changeMs,
    falseDeaths,
  };
}
