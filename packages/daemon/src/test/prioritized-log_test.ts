import { expect } from 'chai';
import { PrioritizedLog } from '../lib/platform/prioritized-log.js';

/** A log whose appends stay open until the test answers them. */
class SlowLog {
  readonly streams: string[] = [];
  readonly answers: ((offset: number) => void)[] = [];

  append(stream: string): Promise<number> {
    this.streams.push(stream);
    return new Promise((resolve) => {
      this.answers.push(resolve);
    });
  }

  // eslint-disable-next-line class-methods-use-this -- part of the interface `LogPort`
  read(): Promise<never> {
    return Promise.reject(new Error('not read here'));
  }
}

describe('PrioritizedLog', () => {
  it('makes waiting appends for domains first, then keys, then the configuration', async () => {
    const slowLog = new SlowLog();
    const log = new PrioritizedLog(slowLog);
    const streams = ['config', 'keys-1', 'keys-2', 'config', 'domain-a', 'keys-3'];
    const done = streams.map((stream) => log.append(stream, [1]));
    for (let turn = 0; turn < streams.length; turn += 1) {
      slowLog.answers[turn](turn + 1);
      // eslint-disable-next-line no-await-in-loop -- the next append starts after this answer
      await new Promise(setImmediate);
    }
    await Promise.all(done);
    expect(slowLog.streams).to.deep.equal([
      'config',
      'keys-1',
      'domain-a',
      'keys-2',
      'keys-3',
      'config',
    ]);
  });

  it('makes further appends after more have failed than may run at once', async () => {
    const log = new PrioritizedLog({
      append: (stream) =>
        stream === 'bad' ? Promise.reject(new Error('lost')) : Promise.resolve(7),
      read: () => Promise.reject(new Error('not read here')),
    });
    const failures = await Promise.all(
      ['bad', 'bad', 'bad'].map((stream) => log.append(stream, []).catch((error: Error) => error)),
    );
    failures.forEach((failure) => expect(failure).to.be.instanceOf(Error));
    expect(await log.append('good', [])).to.equal(7);
  });
});
