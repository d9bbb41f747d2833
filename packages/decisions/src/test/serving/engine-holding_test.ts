import { expect } from 'chai';
import { EngineHolding, OrderOutcome } from '@chervilseam/decisions';
import type { EngineOrder, EngineStateReport } from '@chervilseam/decisions';

const model = (name: string) => ({
  name,
  sizeMb: 70,
  storeLoadMs: 5_000,
  diskLoadMs: 1_000,
  hostLoadMs: 400,
  adapterMb: 1,
});

const spec = {
  slotCount: 8,
  kvTokenCount: 1_000,
  memoryMb: 150,
  adapterSlotCount: 2,
  storeLoadsPerSecond: 1,
  models: new Map(['a', 'b', 'c'].map((name) => [name, model(name)])),
};

const report = (
  orderCount: number,
  names: readonly string[],
  isBusy = false,
): EngineStateReport => ({
  orderCount,
  isBusy,
  models: names.map((name) => ({ name, adapters: [] })),
  pendingAdapters: [],
});

const loadB: EngineOrder = { action: 'load', model: 'b' };
const loadC: EngineOrder = { action: 'load', model: 'c' };

describe('EngineHolding', () => {
  let holding: EngineHolding;

  beforeEach(() => {
    holding = new EngineHolding(spec);
    holding.adopt(report(0, ['a']), 0);
  });

  it('withholds orders until a report has told what the engine holds', () => {
    expect(new EngineHolding(spec).objection(loadB)).to.equal('no report yet');
  });

  it('counts a load without an answer until another order is taken', () => {
    holding.sent(loadB, 1);
    holding.answered(loadB, OrderOutcome.unknown);
    holding.adopt(report(0, ['a']), 500);
    expect(holding.objection(loadC)).to.be.a('string');
    expect(holding.objection(loadB)).to.equal(undefined);
  });

  it('goes on counting a load that was sent again and then taken', () => {
    holding.sent(loadB, 1);
    holding.answered(loadB, OrderOutcome.unknown);
    holding.adopt(report(0, ['a']), 500);
    holding.sent(loadB, 510);
    holding.answered(loadB, OrderOutcome.accepted);
    expect(holding.orderCount).to.equal(1);
    expect(holding.objection(loadC)).to.be.a('string');
    expect(holding.memoryMb).to.equal(140);
  });

  it('passes over a report from before an order that was taken', () => {
    holding.sent(loadB, 1);
    holding.answered(loadB, OrderOutcome.accepted);
    expect(holding.adopt(report(0, ['a']), 100)).to.equal(false);
    holding.answered(loadC, OrderOutcome.conflict);
    expect(holding.adopt(report(0, ['a']), 200)).to.equal(false);
    expect(holding.adopt(report(1, ['a'], true), 300)).to.equal(true);
    expect(holding.models).to.include('b');
  });

  it('waits for what an owner before has ordered', () => {
    const taken = new EngineHolding(spec);
    taken.adopt(report(5, ['a'], true), 0);
    expect(taken.objection(loadB)).to.equal('another model is being loaded or unloaded');
    taken.adopt(report(5, ['a', 'b']), 500);
    expect(taken.objection(loadC)).to.equal('no room');
  });

  it('loads no adapter while a model is being loaded, and none beyond its places', () => {
    const adapter = (name: string): EngineOrder => ({ action: 'load', model: 'a', adapter: name });
    ['x', 'y'].forEach((name, at) => {
      holding.sent(adapter(name), at);
      holding.answered(adapter(name), OrderOutcome.accepted);
    });
    expect(holding.objection(adapter('z'))).to.equal('no place for an adapter');
    holding.sent(loadB, 5);
    holding.answered(loadB, OrderOutcome.accepted);
    expect(holding.objection(adapter('z'))).to.equal('a model is being loaded or unloaded');
  });

  it('takes away the adapter that was used longest ago, and none in use', () => {
    const order: EngineOrder = { action: 'load', model: 'a', adapter: 'x' };
    holding.sent(order, 1);
    holding.answered(order, OrderOutcome.accepted);
    expect(holding.adapterVictim(100)).to.equal(undefined);
    holding.arrived('a', 'x');
    holding.used('a', 'x', 90);
    expect(holding.adapterVictim(80)).to.equal(undefined);
    expect(holding.adapterVictim(100)).to.include({ action: 'unload', adapter: 'x' });
  });
});
