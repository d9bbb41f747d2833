import { Worker } from 'node:worker_threads';
import { Deployment } from '@chervilseam/embedded';
import type { BenchRow } from '../bench-row.js';
import type { LoadJob } from './load-job.js';
import type { LoadResult } from './load-result.js';

/** Duration of a measured job. */
const DURATION_MS = 4_000;
/** Duration of the job that is run first to warm up. */
const WARM_UP_MS = 1_000;
/** Number of concurrent requests when throughput is measured. */
const BUSY_CONCURRENCY = 64;
/** Number of concurrent streams when memory is measured. */
const OPEN_STREAM_COUNT = 1_000;
/**
 * Number of streams and time between their tokens: the engine offers about 40,000 tokens per
 * second.
 */
const STREAM_COUNT = 160;
const STREAM_TOKEN_MS = 3;

/** Waits for the next message of a worker. */
const nextMessage = <T>(worker: Worker): Promise<T> =>
  new Promise((resolve, reject) => {
    worker.once('error', reject);
    worker.once('message', (value: T) => {
      worker.off('error', reject);
      resolve(value);
    });
  });

const startWorker = (file: string, workerData: unknown = {}): Worker =>
  new Worker(new URL(file, import.meta.url), { workerData });

/** Daemons, an engine in its own thread and a load worker. */
interface PathBench {
  readonly deployment: Deployment;
  /** Runs the callers. */
  readonly load: Worker;
  readonly engineUrl: string;
  readonly engineWorker: Worker;
}

async function start(instanceCount: number, tokenMs: number): Promise<PathBench> {
  const engineWorker = startWorker('./engine-worker.js', {
    residents: { 'model/m@1': 1 },
    tokenMs,
    prefillMs: 0,
    batchSize: 1e6,
  });
  const engineUrl = await nextMessage<string>(engineWorker);
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
  await deployment.waitFor('all daemons know the engine', () =>
    [...deployment.daemons.values()].every((daemon) => daemon.knowsEndpoint('e')),
  );
  return { deployment, engineUrl, engineWorker, load: startWorker('./load-worker.js') };
}

async function stop({ deployment, load, engineWorker }: PathBench): Promise<void> {
  deployment.stop();
  await Promise.all([load.terminate(), engineWorker.terminate()]);
}

/** Warms up with a short job, then runs the job against a base URL. */
async function run(bench: PathBench, origin: string, job: Partial<LoadJob>): Promise<LoadResult> {
  const fullJob = {
    concurrency: BUSY_CONCURRENCY,
    tokens: 2,
    isStreamed: false,
    durationMs: DURATION_MS,
    ...job,
  };
  const send = (durationMs: number): Promise<LoadResult> => {
    const answer = nextMessage<LoadResult>(bench.load);
    bench.load.postMessage({ origin, key: bench.deployment.callerKey, ...fullJob, durationMs });
    return answer;
  };
  await send(WARM_UP_MS);
  return send(fullJob.durationMs);
}

/** A row; `direct` is the same figure without a daemon in between. */
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

/** Measures the throughput of short requests and the latency that the daemons add. */
async function measureRequests(
  bench: PathBench,
  name: string,
  instance: string,
): Promise<BenchRow[]> {
  const { deployment, engineUrl } = bench;
  const origin = deployment.callerUrl(instance);
  const direct = await run(bench, engineUrl, {});
  const through = await run(bench, origin, {});
  const directSingle = await run(bench, engineUrl, { concurrency: 1 });
  const single = await run(bench, origin, { concurrency: 1 });
  const hops = name === 'one' ? 1 : 2;
  const added = single.p50Ms - directSingle.p50Ms;
  return [
    row(
      `${name}/requestsPerSecond`,
      through.requestsPerSecond,
      '1/s',
      name === 'one' ? '>= 3000' : '',
      direct.requestsPerSecond,
    ),
    row(`${name}/addedP50PerHop`, added / hops, 'ms', '<= 1', directSingle.p50Ms),
    row(`${name}/addedP99`, single.p99Ms - directSingle.p99Ms, 'ms', '', directSingle.p99Ms),
    row(`${name}/busyP99`, through.p99Ms, 'ms', '', direct.p99Ms),
    row(`${name}/failures`, through.failures, 'count', '<= 0'),
  ];
}

/**
 * Measures the throughput of streams, and the processor time of the whole process for them, warm-up
 * included.
 */
async function measureStreams(instanceCount: number): Promise<BenchRow[]> {
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

/** Measures the growth of memory while many streams are open; each caller sends one request. */
async function measureOpenStreams(): Promise<BenchRow[]> {
  const bench = await start(1, 200);
  globalThis.gc?.();
  const before = process.memoryUsage().rss;
  const job = { concurrency: OPEN_STREAM_COUNT, tokens: 30, isStreamed: true, durationMs: 1 };
  const answer = nextMessage<LoadResult>(bench.load);
  const origin = bench.deployment.callerUrl();
  bench.load.postMessage({ origin, key: bench.deployment.callerKey, ...job });
  await Deployment.sleep(3_000);
  const growthBytes = process.memoryUsage().rss - before;
  const { failures } = await answer;
  await stop(bench);
  return [
    row('memoryWith1000Streams', growthBytes, 'bytes', '<= 128000000'),
    row('failuresWith1000Streams', failures, 'count', '<= 0'),
  ];
}

/** Measures the time from the start of a daemon until it is ready. */
async function measureStartUp(): Promise<BenchRow> {
  const startMs = performance.now();
  const deployment = await Deployment.start({ instanceCount: 1, configToml: '' });
  const tookMs = performance.now() - startMs;
  deployment.stop();
  return row('startUpToReady', tookMs, 'ms');
}

/**
 * Measures the request path through real daemons, compared with requests sent directly to the
 * stand-in engine. The main thread runs only the daemons; the engine and the callers have a thread
 * each.
 *
 * @returns a row for each figure
 */
export async function pathRows(): Promise<BenchRow[]> {
  const one = await start(1, 0);
  const oneRows = await measureRequests(one, 'one', 'instance-1');
  await stop(one);
  const two = await start(2, 0);
  const twoRows = await measureRequests(two, 'two', 'instance-2');
  await stop(two);
  const streamRows = [...(await measureStreams(1)), ...(await measureStreams(2))];
  return [
    ...oneRows,
    ...twoRows,
    ...streamRows,
    ...(await measureOpenStreams()),
    await measureStartUp(),
  ];
}
