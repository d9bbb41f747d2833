import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { afterEach, beforeEach, describe, it } from 'mocha';

const MOCHA = 'node_modules/mocha/bin/mocha.js';
const PASSING = "it('passes', () => {});";

// A run that ended in the middle printed no summary and exited with 0, which counted as a pass.
describe('A test run', () => {
  let folder;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'complete-run-'));
  });

  afterEach(() => rm(folder, { recursive: true }));

  const run = async (body) => {
    const file = join(folder, 'case_test.cjs');
    await writeFile(file, body);
    const options = ['--no-config', '--exit', '--require', './.ci/complete-run.mjs', file];
    return new Promise((resolve) => {
      execFile(process.execPath, [MOCHA, ...options], (error, _, stderr) => {
        resolve({ status: error?.code ?? 0, stderr });
      });
    });
  };

  it('passes when every test has passed or is marked as pending', async () => {
    const { status, stderr } = await run(`${PASSING} it('is pending');`);
    expect(stderr).to.equal('');
    expect(status).to.equal(0);
  });

  it('fails when a test ends the process', async () => {
    const { status, stderr } = await run(
      `${PASSING} it('exits', () => process.exit(0)); ${PASSING}`,
    );
    expect(status).to.equal(1);
    expect(stderr).to.contain('2 of 3 tests were not run');
  });

  it('fails when a test waits for what does not keep the process alive', async () => {
    const waiting = "it('waits', () => new Promise(() => {})).timeout(200);";
    const { status } = await run(`${PASSING} ${waiting} ${PASSING}`);
    expect(status).to.equal(1);
  });

  it('fails when the process ends between two tests', async () => {
    const { status, stderr } = await run(
      `${PASSING} afterEach(() => setImmediate(() => process.exit(0))); ${PASSING}`,
    );
    expect(status).to.equal(1);
    expect(stderr).to.contain('1 of 2 tests were not run');
  });

  it('fails when there is no test', async () => {
    expect((await run('')).status).to.equal(1);
  });

  it('keeps the exit code of a failed test', async () => {
    const failing = "it('fails', () => { throw new Error('no'); });";
    expect((await run(`${failing} ${failing}`)).status).to.equal(2);
  });
});
