import { parentPort } from 'node:worker_threads';
import { runLoadJob } from './run-load-job.js';
import type { LoadJob } from './load-job.js';

/** Runs the callers in their own thread and sends the result of each job back. */
parentPort?.on('message', (job: LoadJob) => {
  runLoadJob(job).then((result) => parentPort?.postMessage(result));
});
