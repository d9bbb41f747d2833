import { expect } from 'chai';
import { Endpoint } from '../lib/feed/endpoint.js';
import { EndpointPicker } from '../lib/dispatch/endpoint-picker.js';
import { PickReason } from '../lib/dispatch/pick-reason.js';
import type { PickResult } from '../lib/dispatch/pick-result.js';
import { endpointRecordOf } from './endpoint-record-of.js';

// Every slot of the only engine with the model is taken by streams that last for seconds. An urgent request would be
// refused until one of them ends, although the engine would admit it first.
describe('an urgent request while patient ones take every slot', () => {
  let endpoint: Endpoint;

  const pick = (slotShare?: number): PickResult => {
    const picker = new EndpointPicker({
      failureDomain: 'a',
      nowMs: () => 1_000,
      randomUnit: () => 0,
      endpointsOf: () => [endpoint],
      peerLoad: () => ({ count: 8, unreadTokenCount: 0 }),
      engineState: () => undefined,
      plannedMs: () => undefined,
      instanceCount: () => 1,
    });
    return picker.pick({
      service: {
        name: 'assistant',
        connectionCountMax: 100,
        engine: {
          slotCount: 8,
          kvTokenCount: 50_000,
          memoryMb: 100_000,
          adapterSlotCount: 8,
          storeLoadsPerSecond: 1,
          models: new Map([
            [
              'm',
              { name: 'm', sizeMb: 1, hostLoadMs: 1, diskLoadMs: 1, storeLoadMs: 1, adapterMb: 1 },
            ],
          ]),
        },
      },
      model: 'm',
      paceMaxMs: 300,
      promptTokenCount: 100,
      outputTokenCountMax: 0,
      objectiveMs: 300,
      isSuspect: false,
      slotShare,
      tried: new Set(),
    });
  };

  beforeEach(() => {
    endpoint = new Endpoint({
      ...endpointRecordOf('a'),
      models: [{ name: 'm', version: 1, adapters: [] }],
    });
  });

  afterEach(() => endpoint.close());

  it('waits with the patient ones, and is told of how many places', () => {
    expect(pick()).to.include({ kind: 'wait', reason: PickReason.full, placeCount: 8 });
  });

  it('is sent to the engine when it may queue there', () => {
    expect(pick(1.125).kind).to.equal('send');
  });
});
