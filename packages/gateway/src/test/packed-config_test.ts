import { compressedCbor } from '@chervilseam/peer';
import { expect } from 'chai';
import type { ServingConfig } from '@chervilseam/model';
import { packedConfig } from '../lib/feed/packed-config.js';

const model = {
  name: 'm',
  sizeMb: 1,
  storeLoadMs: 2,
  diskLoadMs: 1,
  hostLoadMs: 1,
  adapterMb: 0,
};

const config: ServingConfig = {
  version: 7,
  routes: [],
  services: new Map([
    [
      's',
      {
        name: 's',
        connectionCountMax: 5,
        engine: {
          slotCount: 1,
          kvTokenCount: 2,
          memoryMb: 3,
          adapterSlotCount: 4,
          storeLoadsPerSecond: 5,
          models: new Map([['m', model]]),
        },
      },
    ],
    ['t', { name: 't', connectionCountMax: 6 }],
  ]),
  limits: { headerBytesMax: 1, bodyBytesMax: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 },
};

describe('packedConfig', () => {
  it('restores an equal configuration after it was encoded and decoded', async () => {
    const bytes = await packedConfig.encode(config);
    expect(await packedConfig.decode(bytes)).to.deep.equal(config);
  });

  const failureOf = (bytes: Buffer): Promise<unknown> =>
    packedConfig.decode(bytes).catch((error: unknown) => error);

  it('refuses bytes that are no configuration', async () => {
    expect(await failureOf(Buffer.from('not compressed'))).to.be.instanceOf(Error);
  });

  // A value without a version would count as newer than every configuration.
  it('refuses a value without a version, routes or services', async () => {
    const values = [{ services: [], routes: [] }, { version: 3, services: [] }, { version: 3 }, 7];
    const failures = await Promise.all(
      values.map(async (value) => failureOf(await compressedCbor.encode(value))),
    );
    failures.forEach((failure) => expect(failure).to.be.instanceOf(Error));
  });
});
