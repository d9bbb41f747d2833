import { Readable } from 'node:stream';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { expect } from 'chai';
import { readBody } from '../lib/read-body.js';

const PART_COUNT = 200_000;
/** Memory that the parts may take, in bytes: ten times their contents. */
const HELD_BYTES_MAX = 10 * PART_COUNT;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const usedBytes = (): number => {
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
};

// Reports of engines and answers of the store were kept as one object for each chunk, some hundred bytes for a byte.
describe('A body that is read into memory', () => {
  let stream: Readable;

  beforeEach(() => {
    stream = new Readable({ read() {} });
  });

  it('takes little more than its contents when it comes in parts of one byte', async () => {
    const body = readBody(stream, { bytesMax: PART_COUNT });
    const byte = Buffer.from('x');
    const beforeBytes = usedBytes();
    for (let index = 0; index < PART_COUNT; index += 1) stream.emit('data', byte.subarray(0));
    expect(usedBytes() - beforeBytes).to.be.lessThan(HELD_BYTES_MAX);
    stream.push(null);
    stream.resume();
    expect((await body).equals(Buffer.alloc(PART_COUNT, 'x'))).to.equal(true);
  });

  it('fails beyond the largest size', async () => {
    const body = readBody(stream, { bytesMax: 3 });
    stream.push('four');
    const error = await body.catch((reason: Error) => reason);
    expect(String(error)).to.include('body exceeds 3 bytes');
  });

  it('fails when it breaks off', async () => {
    const body = readBody(stream, { bytesMax: 3 });
    stream.push('two');
    setImmediate(() => stream.destroy());
    const error = await body.catch((reason: Error) => reason);
    expect(String(error)).to.include('body broke off after 3 bytes');
  });
});
