/* eslint-disable */
// Frame of a script: a temporary folder, the record, and the end of all processes that were started.
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

export const isTrouble = process.env.TROUBLE !== '0';

const LIMIT_MS = 115_000;

export const runCase = async (recordFile, play) => {
  const startMs = performance.now();
  const lines = [];
  const record = (text) => {
    lines.push(`${((performance.now() - startMs) / 1000).toFixed(3).padStart(8)} s  ${text}`);
  };
  const folder = await mkdtemp(join(tmpdir(), 'review-'));
  const instances = [];
  const closers = [];
  const finish = async (code) => {
    instances.forEach((one) => one.signal('SIGKILL'));
    closers.forEach((close) => close());
    await writeFile(recordFile, `${lines.join('\n')}\n`);
    if (!process.env.KEEP) await rm(folder, { recursive: true, force: true });
    else process.stdout.write(`${folder}\n`);
    process.exit(code);
  };
  ['SIGINT', 'SIGTERM'].forEach((name) => process.on(name, () => finish(2)));
  setTimeout(() => {
    record('the case took too long');
    finish(2);
  }, LIMIT_MS);
  record(isTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  try {
    const broken = await play({ record, folder, instances, closers });
    record(broken.length > 0 ? `RULE BROKEN: ${broken.length} time(s)` : 'the rule held');
    broken.forEach((text) => record(`  ${text}`));
    process.stdout.write(`${lines.slice(-1 - broken.length).join('\n')}\n`);
    await finish(broken.length > 0 ? 1 : 0);
  } catch (error) {
    record(`the case could not run: ${error.stack}`);
    process.stdout.write(`${error.stack}\n`);
    await finish(2);
  }
};
