import { Worker } from 'node:worker_threads';
import { Deployment } from '@chervilseam/embedded';
import type { BenchRow } from '../bench-row.js';
import type { LoadJob } from './load-job.js';
import type { LoadResult } from './load-result.js';

const DURATION_MS = 4_000;
const WARM_UP_MS = 1_000;
const BUSY = 64;
const OPEN_STREAMS = 1_000;
/** Streams and their pace: some 40,000 tokens a second are on offer. */
const STREAM_COUNT = 160;
const STREAM_TOKEN_MS = 3;

const once = <T>(worker: Worker): Promise<T> =>
  new Promise((resolve, reject) => {
    worker.once('error', reject);
    worker.once('message', (value: T) => {
      worker.off('error', reject);
      resolve(value);
    });
  });

const workerAt = (file: string, workerData: unknown = {}): Worker =>
  new Worker(new URL(file, import.meta.url), { workerData });

interface Bench {
  readonly deployment: Deployment;
  readonly load: Worker;
  readonly engineUrl: string;
  readonly engineWorker: Worker;
}

async function start(instanceCount: number, tokenMs: number): Promise<Bench> {
  const engineWorker = workerAt('./engine-worker.js', {
    residents: { 'model/m@1': 1 },
    tokenMs,
    prefillMs: 0,
    batchSize: 1e6,
  });
  const engineUrl = await once<string>(engineWorker);
  const deployment = await Deployment.start({
    instanceCount,
    domainCount: instanceCount,
    configToml: [
      '[[model]]\nname = "m"\nweightsBytes = 1',
      `[[endpoint]]\nname = "e"\ndriver = "engine"\nurl = "${engineUrl}"\nmemoryBytes = 100`,
      'failureDomain = "domain-1"\nconcurrencyMax = 100000',
    ].join('\n'),
    settings: { observe: { logLevel: 'warn', traceShare: 0 } },
  });
  await deployment.waitFor('all know the engine', () =>
    [...deployment.daemons.values()].every((daemon) => daemon.knowsEndpoint('e')),
  );
  return { deployment, engineUrl, engineWorker, load: workerAt('./load-worker.js') };
}

async function stop({ deployment, load, engineWorker }: Bench): Promise<void> {
  deployment.stop();
  await Promise.all([load.terminate(), engineWorker.terminate()]);
}

async function run(bench: Bench, origin: string, job: Partial<LoadJob>): Promise<LoadResult> {
  const whole = {
    concurrency: BUSY,
    tokens: 2,
    isStreamed: false,
    durationMs: DURATION_MS,
    ...job,
  };
  const send = (durationMs: number): Promise<LoadResult> => {
    const answer = once<LoadResult>(bench.load);
    bench.load.postMessage({ origin, key: bench.deployment.callerKey, ...whole, durationMs });
    return answer;
  };
  await send(WARM_UP_MS);
  return send(whole.durationMs);
}

const row = (
  metric: string,
  value: number,
  unit: string,
  bound = '',
  direct?: number,
): BenchRow => ({
  scenario: 'path',
  metric,
  value,
  unit,
  bound,
  baselines: direct === undefined ? {} : { direct },
  seeds: 1,
});

async function ratesOf(bench: Bench, name: string, instance: string): Promise<BenchRow[]> {
  const { deployment, engineUrl } = bench;
  const origin = deployment.callerUrl(instance);
  const direct = await run(bench, engineUrl, {});
  const through = await run(bench, origin, {});
  const directAlone = await run(bench, engineUrl, { concurrency: 1 });
  const alone = await run(bench, origin, { concurrency: 1 });
  const hops = name === 'one' ? 1 : 2;
  const added = alone.p50Ms - directAlone.p50Ms;
  return [
    row(
      `${name}/requestsPerSecond`,
      through.requestsPerSecond,
      '1/s',
      name === 'one' ? '>= 3000' : '',
      direct.requestsPerSecond,
    ),
    row(`${name}/addedP50PerHop`, added / hops, 'ms', '<= 1', directAlone.p50Ms),
    row(`${name}/addedP99`, alone.p99Ms - directAlone.p99Ms, 'ms', '', directAlone.p99Ms),
    row(`${name}/busyP99`, through.p99Ms, 'ms', '', direct.p99Ms),
    row(`${name}/failures`, through.failures, 'count', '<= 0'),
  ];
}

async function streamRates(instanceCount: number): Promise<BenchRow[]> {
  const bench = await start(instanceCount, STREAM_TOKEN_MS);
  const job = { concurrency: STREAM_COUNT, tokens: 400, isStreamed: true };
  const direct = await run(bench, bench.engineUrl, job);
  const before = process.cpuUsage();
  const origin = bench.deployment.callerUrl(`instance-${instanceCount}`);
  const through = await run(bench, origin, job);
  const cpu = process.cpuUsage(before);
  await stop(bench);
  const name = instanceCount === 1 ? 'one' : 'two';
  const bound = instanceCount === 1 ? '>= 30000' : '';
  const { tokensPerSecond } = through;
  return [
    row(`${name}/tokensPerSecond`, tokensPerSecond, '1/s', bound, direct.tokensPerSecond),
    row(`${name}/streamCpuSeconds`, (cpu.user + cpu.system) / 1e6, 's, all threads'),
    row(`${name}/streamFailures`, through.failures, 'count', '<= 0'),
  ];
}

async function openStreams(): Promise<BenchRow[]> {
  const bench = await start(1, 200);
  globalThis.gc?.();
  const before = process.memoryUsage().rss;
  const job = { concurrency: OPEN_STREAMS, tokens: 30, isStreamed: true, durationMs: 1 };
  const answer = once<LoadResult>(bench.load);
  const origin = bench.deployment.callerUrl();
  bench.load.postMessage({ origin, key: bench.deployment.callerKey, ...job });
  await Deployment.sleep(3_000);
  const grown = process.memoryUsage().rss - before;
  const { failures } = await answer;
  await stop(bench);
  return [
    row('memoryWith1000Streams', grown, 'bytes', '<= 128000000'),
    row('failuresWith1000Streams', failures, 'count', '<= 0'),
  ];
}

async function startUp(): Promise<BenchRow> {
  const startMs = performance.now();
  const deployment = await Deployment.start({ instanceCount: 1, configToml: '' });
  const tookMs = performance.now() - startMs;
  deployment.stop();
  return row('startUpToReady', tookMs, 'ms');
}

/**
 * Measures the path on real daemons against requests sent straight to the stand-in. The daemons have
 * the main thread for themselves; the engine and the callers have a thread each.
 *
 * @returns a row for each figure
 */
export async function pathRows(): Promise<BenchRow[]> {
  const one = await start(1, 0);
  const oneRows = await ratesOf(one, 'one', 'instance-1');
  await stop(one);
  const two = await start(2, 0);
  const twoRows = await ratesOf(two, 'two', 'instance-2');
  await stop(two);
  const streamRows = [...(await streamRates(1)), ...(await streamRates(2))];
  return [...oneRows, ...twoRows, ...streamRows, ...(await openStreams()), await startUp()];
}
