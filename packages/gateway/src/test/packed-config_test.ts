import { decode, encode } from 'cbor-x';
import { expect } from 'chai';
import type { ServingConfig } from '@chervilseam/model';
import { packedConfig } from '../lib/feed/packed-config.js';
import type { PackedConfig } from '../lib/feed/packed-config.js';

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
  it('restores an equal configuration after it was packed, encoded, decoded and unpacked', () => {
    const sent = decode(encode(packedConfig.pack(config))) as PackedConfig;
    expect(packedConfig.unpack(sent)).to.deep.equal(config);
  });
});
