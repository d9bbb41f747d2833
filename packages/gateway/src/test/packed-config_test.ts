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

  it('refuses bytes that are no configuration', async () => {
    const decoded = packedConfig.decode(Buffer.from('not compressed'));
    expect(await decoded.catch((error: unknown) => error)).to.be.instanceOf(Error);
  });
});
