import { setTimeout as sleep } from 'node:timers/promises';
import { OrderOutcome } from '@chervilseam/decisions';
import type { EngineOrder, EngineStateReport } from '@chervilseam/decisions';
import type { EngineSpec } from '@chervilseam/model';
import { PartLogger } from '@chervilseam/observe';
import { expect } from 'chai';
import { Endpoint } from '../lib/feed/endpoint.js';
import { EngineOwner } from '../lib/owner/engine-owner.js';
import type { EngineCalls } from '../lib/ports/engine-calls.js';
import { endpointRecordOf } from './endpoint-record-of.js';

const SLOT_COUNT = 2;
/** Longer than an adapter has to be idle before it is evicted, in milliseconds. */
const IDLE_MS = 250;

const spec: EngineSpec = {
  slotCount: 8,
  kvTokenCount: 1_000,
  memoryMb: 150,
  adapterSlotCount: SLOT_COUNT,
  storeLoadsPerSecond: 1,
  models: new Map([
    ['m', { name: 'm', sizeMb: 70, storeLoadMs: 1, diskLoadMs: 1, hostLoadMs: 1, adapterMb: 1 }],
  ]),
};

/** An engine with one model, which keeps an adapter that is in use until the use ends. */
class FakeEngine implements EngineCalls {
  readonly orderTimeoutMs = 500;
  readonly adapters = new Set(['a1', 'a2']);
  readonly inUse = new Set<string>();
  readonly leaving = new Set<string>();
  adapterCountMax = 0;
  orderCount = 0;

  async order(_: unknown, { action, adapter = '' }: EngineOrder): Promise<OrderOutcome> {
    await sleep(2);
    this.#dropUnused();
    this.orderCount += 1;
    if (action === 'load') {
      this.adapters.add(adapter);
      this.adapterCountMax = Math.max(this.adapterCountMax, this.adapters.size);
      return OrderOutcome.accepted;
    }
    this.leaving.add(adapter);
    this.#dropUnused();
    return this.adapters.has(adapter) ? OrderOutcome.accepted : OrderOutcome.holds;
  }

  async report(): Promise<EngineStateReport> {
    this.#dropUnused();
    return Promise.resolve({
      orderCount: this.orderCount,
      isBusy: this.leaving.size > 0,
      models: [{ name: 'm', adapters: [...this.adapters] }],
      pendingAdapters: [],
    });
  }

  #dropUnused(): void {
    this.leaving.forEach((adapter) => {
      if (this.inUse.has(adapter)) return;
      this.leaving.delete(adapter);
      this.adapters.delete(adapter);
    });
  }
}

const ownerOf = (calls: EngineCalls, engineSpec = spec): EngineOwner =>
  new EngineOwner(
    {
      instance: 'self',
      calls,
      logger: PartLogger.forInstance('self', 'fatal')('engine'),
      nowMs: () => performance.now(),
      token: () => 1,
      onLeaving: () => undefined,
      onChanged: () => undefined,
      onMoved: () => undefined,
      onSend: () => () => {},
    },
    new Endpoint(endpointRecordOf('i-1')),
    engineSpec,
  );

// An engine that is ordered to load more adapters than it has slots for crashes.
describe('EngineOwner: adapters of one engine', () => {
  let engine: FakeEngine;
  let owner: EngineOwner;
  let timer: NodeJS.Timeout;

  beforeEach(async () => {
    engine = new FakeEngine();
    owner = ownerOf(engine);
    timer = setInterval(() => owner.tick(), 10);
    await sleep(IDLE_MS);
  });

  afterEach(() => clearInterval(timer));

  it('never exceed its slots while one that the engine denied is loaded again', async () => {
    await Promise.all([
      owner.loadAdapter('m', 'a3', false),
      owner.loadAdapter('m', 'a1', true),
      owner.loadAdapter('m', 'a4', false),
    ]);
    expect(engine.adapterCountMax).to.be.at.most(SLOT_COUNT);
  });

  it('never exceed its slots while one that is unloaded is still in use', async () => {
    engine.inUse.add('a1');
    owner.recordUse(['m/a2']);
    await owner.loadAdapter('m', 'a3', false);
    await owner.loadAdapter('m', 'a4', false);
    expect(engine.adapterCountMax).to.be.at.most(SLOT_COUNT);
    engine.inUse.clear();
    await sleep(2 * IDLE_MS);
    expect(await owner.loadAdapter('m', 'a3', false)).to.equal(true);
    expect(engine.adapterCountMax).to.be.at.most(SLOT_COUNT);
  });
});

// Adapters in constant use kept every slot, and one that was asked for again and again never got any.
describe('EngineOwner: an adapter that others leave no slot', () => {
  let engine: FakeEngine;
  let owner: EngineOwner;
  let timers: NodeJS.Timeout[];

  beforeEach(async () => {
    engine = new FakeEngine();
    owner = ownerOf(engine);
    timers = [
      setInterval(() => owner.tick(), 10),
      setInterval(() => owner.recordUse(['m/a1', 'm/a2']), 20),
    ];
    await sleep(IDLE_MS);
  });

  afterEach(() => timers.forEach((timer) => clearInterval(timer)));

  const askUntilLoaded = async (adapter: string, untilMs: number): Promise<boolean> => {
    while (performance.now() < untilMs) {
      // eslint-disable-next-line no-await-in-loop
      if (await owner.loadAdapter('m', adapter, false)) return true;
      // eslint-disable-next-line no-await-in-loop
      await sleep(50);
    }
    return false;
  };

  it('gets one within two seconds', async () => {
    expect(await askUntilLoaded('a3', performance.now() + 2_000)).to.equal(true);
    expect(engine.adapterCountMax).to.be.at.most(SLOT_COUNT);
  });

  it('gets one before others that came later', async () => {
    const untilMs = performance.now() + 5_000;
    const first = askUntilLoaded('a3', untilMs).then(() => performance.now());
    await sleep(100);
    const second = askUntilLoaded('a4', untilMs).then(() => performance.now());
    expect(await first).to.be.below(await second);
    expect(await second).to.be.below(untilMs);
  });
});

// An engine was ordered beyond its memory: its owner counted a model that a later configuration no longer
// named as nothing, and did not learn of later configurations at all.
describe('EngineOwner: an engine with models of an earlier configuration', () => {
  const modelOf = (name: string) => ({
    name,
    sizeMb: 70,
    storeLoadMs: 1,
    diskLoadMs: 1,
    hostLoadMs: 1,
    adapterMb: 1,
  });
  const specOf = (...names: string[]): EngineSpec => ({
    ...spec,
    models: new Map(names.map((name) => [name, modelOf(name)])),
  });
  let timer: NodeJS.Timeout | undefined;

  const ordersAfter = async (act: (owner: EngineOwner) => void): Promise<EngineOrder[]> => {
    const orders: EngineOrder[] = [];
    const calls: EngineCalls = {
      orderTimeoutMs: 500,
      order: (_, order) => {
        orders.push(order);
        return Promise.resolve(OrderOutcome.accepted);
      },
      report: () =>
        Promise.resolve({
          orderCount: 0,
          isBusy: false,
          models: ['old', 'older'].map((name) => ({ name, adapters: [] })),
          pendingAdapters: [],
        }),
    };
    const owner = ownerOf(calls, specOf('old', 'older'));
    timer = setInterval(() => owner.tick(), 10);
    await sleep(50);
    act(owner);
    await sleep(IDLE_MS);
    return orders;
  };

  afterEach(() => clearInterval(timer));

  it('gets no load beside models that the configuration no longer names', async () => {
    const orders = await ordersAfter((owner) => {
      owner.updateSpec(specOf('new'));
      owner.beginMove({ load: 'new', unload: [] });
    });
    expect(orders).to.deep.equal([]);
  });

  it('gets a model that only a later configuration names', async () => {
    const orders = await ordersAfter((owner) => {
      owner.updateSpec(specOf('new'));
      owner.beginMove({ load: 'new', unload: ['old', 'older'] });
    });
    expect(orders[0]).to.deep.equal({ action: 'unload', model: 'old' });
  });
});
