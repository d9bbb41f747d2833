import { build } from 'hdr-histogram-js';
import { Pool } from 'undici';
import type { LoadJob } from './load-job.js';
import type { LoadResult } from './load-result.js';

const MICROSECONDS_PER_MS = 1_000;

/**
 * Sends requests in closed loops: each loop sends its next request when the answer is complete.
 *
 * @param job - where to send requests, how many at once and for how long
 * @returns rates, latencies and failures
 */
export async function runLoadJob(job: LoadJob): Promise<LoadResult> {
  const { origin, key, concurrency, durationMs, tokens, isStreamed } = job;
  const pool = new Pool(origin, { connections: concurrency, pipelining: 1 });
  const histogram = build();
  const body = JSON.stringify({
    model: 'm',
    messages: [{ role: 'user', content: 'A short question about a die.' }],
    max_tokens: tokens,
    stream: isStreamed,
  });
  const headers = { authorization: `Bearer ${key}`, 'content-type': 'application/json' };
  const counts = { requests: 0, failures: 0 };
  const startMs = performance.now();
  const send = async (): Promise<boolean> => {
    const path = '/v1/chat/completions';
    const answer = await pool.request({ method: 'POST', path, headers, body });
    await answer.body.dump({ limit: 16 * 1024 * 1024 });
    return answer.statusCode === 200;
  };
  const loop = async (): Promise<void> => {
    while (performance.now() - startMs < durationMs) {
      const sentMs = performance.now();
      // eslint-disable-next-line no-await-in-loop -- a closed loop
      const hasSucceeded = await send().catch(() => false);
      if (hasSucceeded) counts.requests += 1;
      else counts.failures += 1;
      histogram.recordValue(Math.round((performance.now() - sentMs) * MICROSECONDS_PER_MS));
    }
  };
  await Promise.all(Array.from({ length: concurrency }, loop));
  const seconds = (performance.now() - startMs) / 1_000;
  await pool.close();
  return {
    requestsPerSecond: counts.requests / seconds,
    tokensPerSecond: (counts.requests * tokens) / seconds,
    p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
    failures: counts.failures,
  };
}
