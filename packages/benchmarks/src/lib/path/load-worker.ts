import { parentPort } from 'node:worker_threads';
import { runLoadJob } from './run-load-job.js';
import type { LoadJob } from './load-job.js';

/** Callers on a thread of their own. */
parentPort?.on('message', (job: LoadJob) => {
  runLoadJob(job).then((result) => parentPort?.postMessage(result));
});
