import { expect } from 'chai';
import { EngineInventory, OrderOutcome } from '@chervilseam/decisions';
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

describe('EngineInventory', () => {
  let inventory: EngineInventory;

  beforeEach(() => {
    inventory = new EngineInventory(spec);
    inventory.applyReport(report(0, ['a']), 0);
  });

  it('allows no order before the first report', () => {
    expect(new EngineInventory(spec).withholdReason(loadB)).to.equal(
      'the engine has not reported yet',
    );
  });

  it('accounts for an unconfirmed load and allows only that load to be sent again', () => {
    inventory.recordSent(loadB, 1);
    inventory.applyOutcome(loadB, OrderOutcome.unknown);
    inventory.applyReport(report(0, ['a']), 500);
    expect(inventory.withholdReason(loadC)).to.be.a('string');
    expect(inventory.withholdReason(loadB)).to.equal(undefined);
  });

  it('accounts for a load once when it was sent twice and then accepted', () => {
    inventory.recordSent(loadB, 1);
    inventory.applyOutcome(loadB, OrderOutcome.unknown);
    inventory.applyReport(report(0, ['a']), 500);
    inventory.recordSent(loadB, 510);
    inventory.applyOutcome(loadB, OrderOutcome.accepted);
    expect(inventory.orderCount).to.equal(1);
    expect(inventory.withholdReason(loadC)).to.be.a('string');
    expect(inventory.memoryMb).to.equal(140);
  });

  it('ignores a report that is older than an accepted order', () => {
    inventory.recordSent(loadB, 1);
    inventory.applyOutcome(loadB, OrderOutcome.accepted);
    expect(inventory.applyReport(report(0, ['a']), 100)).to.equal(false);
    inventory.applyOutcome(loadC, OrderOutcome.conflict);
    expect(inventory.applyReport(report(0, ['a']), 200)).to.equal(false);
    expect(inventory.applyReport(report(1, ['a'], true), 300)).to.equal(true);
    expect(inventory.models).to.include('b');
  });

  it('allows no load while the engine still carries out an order of a previous owner', () => {
    const takenOver = new EngineInventory(spec);
    takenOver.applyReport(report(5, ['a'], true), 0);
    expect(takenOver.withholdReason(loadB)).to.equal('another model is being loaded or unloaded');
    takenOver.applyReport(report(5, ['a', 'b']), 500);
    expect(takenOver.withholdReason(loadC)).to.equal('not enough memory');
  });

  it('allows no adapter load while a model is loading or all adapter slots are taken', () => {
    const adapter = (name: string): EngineOrder => ({ action: 'load', model: 'a', adapter: name });
    ['x', 'y'].forEach((name, at) => {
      inventory.recordSent(adapter(name), at);
      inventory.applyOutcome(adapter(name), OrderOutcome.accepted);
    });
    expect(inventory.withholdReason(adapter('z'))).to.equal('all adapter slots are taken');
    inventory.recordSent(loadB, 5);
    inventory.applyOutcome(loadB, OrderOutcome.accepted);
    expect(inventory.withholdReason(adapter('z'))).to.equal('a model is being loaded or unloaded');
  });

  it('unloads the least recently used adapter, and none in use', () => {
    const order: EngineOrder = { action: 'load', model: 'a', adapter: 'x' };
    inventory.recordSent(order, 1);
    inventory.applyOutcome(order, OrderOutcome.accepted);
    expect(inventory.idleAdapterUnload(100)).to.equal(undefined);
    inventory.markAdapterReady('a', 'x');
    inventory.recordAdapterUse('a', 'x', 90);
    expect(inventory.idleAdapterUnload(80)).to.equal(undefined);
    expect(inventory.idleAdapterUnload(100)).to.include({ action: 'unload', adapter: 'x' });
  });

  const loadOf = (adapter: string): EngineOrder => ({ action: 'load', model: 'a', adapter });
  const unloadX: EngineOrder = { action: 'unload', model: 'a', adapter: 'x' };
  const adapterReport = (
    orderCount: number,
    adapters: readonly string[],
    isBusy: boolean,
  ): EngineStateReport => ({
    orderCount,
    isBusy,
    models: [{ name: 'a', adapters }],
    pendingAdapters: [],
  });

  const fillSlots = (): void =>
    ['x', 'y'].forEach((adapter) => {
      inventory.recordSent(loadOf(adapter), 1);
      inventory.applyOutcome(loadOf(adapter), OrderOutcome.accepted);
      inventory.markAdapterReady('a', adapter);
    });

  // An engine accepts the unload of an adapter that a request still uses, and holds it until that ends.
  it('accounts for an adapter until a report shows that it was unloaded', () => {
    fillSlots();
    inventory.recordSent(unloadX, 2);
    inventory.applyOutcome(unloadX, OrderOutcome.accepted);
    expect(inventory.adapterState('a', 'x')).to.equal(undefined);
    expect(inventory.hasLeavingAdapters).to.equal(true);
    expect(inventory.withholdReason(loadOf('z'))).to.equal('all adapter slots are taken');
    inventory.applyReport(adapterReport(3, ['x', 'y'], true), 300);
    expect(inventory.hasLeavingAdapters).to.equal(true);
    inventory.applyReport(adapterReport(3, ['y'], false), 600);
    expect(inventory.hasLeavingAdapters).to.equal(false);
    expect(inventory.withholdReason(loadOf('z'))).to.equal(undefined);
  });

  it('counts an adapter whose unload was not carried out as present', () => {
    fillSlots();
    inventory.recordSent(unloadX, 2);
    inventory.applyOutcome(unloadX, OrderOutcome.accepted);
    inventory.applyReport(adapterReport(3, ['x', 'y'], false), 300);
    expect(inventory.adapterState('a', 'x')).to.equal('ready');
  });

  // The accounting of a denied adapter skipped this limit too.
  it('loads a denied adapter again only while few others are being loaded', () => {
    const names = ['v', 'w', 'x', 'y', 'z'];
    inventory = new EngineInventory({ ...spec, adapterSlotCount: names.length });
    inventory.applyReport(adapterReport(0, ['v'], false), 0);
    names.slice(1).forEach((adapter) => {
      inventory.recordSent(loadOf(adapter), 1);
      inventory.applyOutcome(loadOf(adapter), OrderOutcome.accepted);
    });
    inventory.markAdapterDenied('a', 'v');
    expect(inventory.withholdReason(loadOf('v'))).to.equal('too many adapters are loading');
  });

  it('does not load an adapter that is being unloaded', () => {
    fillSlots();
    inventory.recordSent(unloadX, 2);
    inventory.applyOutcome(unloadX, OrderOutcome.accepted);
    expect(inventory.withholdReason(loadOf('x'))).to.equal('the adapter is being unloaded');
  });

  // A denied adapter may still be on its way to the engine, where it takes a slot.
  it('accounts for an adapter that the engine denied, and allows only that to be loaded', () => {
    fillSlots();
    inventory.markAdapterDenied('a', 'x');
    expect(inventory.adapterState('a', 'x')).to.equal(undefined);
    expect(inventory.withholdReason(loadOf('z'))).to.equal('all adapter slots are taken');
    expect(inventory.withholdReason(loadOf('x'))).to.equal(undefined);
    inventory.recordAdapterUse('a', 'y', 90);
    expect(inventory.idleAdapterUnload(80)).to.include({ action: 'unload', adapter: 'x' });
  });
});

// An adapter whose order had no answer was ordered a second time; the answer to that took both orders out of
// the accounting, and a further adapter was ordered onto an engine whose slots were taken.
describe('EngineInventory: an adapter that was ordered twice', () => {
  const loadOf = (adapter: string): EngineOrder => ({ action: 'load', model: 'a', adapter });

  it('stays accounted for once the second order is accepted', () => {
    const inventory = new EngineInventory(spec);
    inventory.applyReport(report(0, ['a']), 0);
    const first = loadOf('x');
    inventory.recordSent(first, 1);
    inventory.applyOutcome(first, OrderOutcome.unknown);
    inventory.markAdapterReady('a', 'x');
    inventory.markAdapterDenied('a', 'x');
    const second = loadOf('x');
    inventory.recordSent(second, 2);
    inventory.applyOutcome(second, OrderOutcome.accepted);
    expect(inventory.adapterCount).to.equal(1);
    inventory.recordSent(loadOf('y'), 3);
    inventory.applyOutcome(loadOf('y'), OrderOutcome.accepted);
    expect(inventory.withholdReason(loadOf('z'))).to.equal('all adapter slots are taken');
  });

  it('may still arrive after a copy of its order met a conflict', () => {
    const inventory = new EngineInventory(spec);
    inventory.applyReport(report(0, ['a']), 0);
    inventory.recordSent(loadOf('y'), 1);
    inventory.applyOutcome(loadOf('y'), OrderOutcome.accepted);
    const order = loadOf('x');
    inventory.recordSent(order, 2);
    inventory.applyOutcome(order, OrderOutcome.unknown);
    inventory.applyOutcome(order, OrderOutcome.conflict);
    expect(inventory.adapterCount).to.equal(2);
    expect(inventory.withholdReason(loadOf('z'))).to.equal('the engine has not reported yet');
  });

  it('needs a report before the next order when its unload may not have been counted', () => {
    const inventory = new EngineInventory(spec);
    inventory.applyReport(report(0, ['a']), 0);
    const order = loadOf('x');
    inventory.recordSent(order, 1);
    inventory.applyOutcome(order, OrderOutcome.unknown);
    inventory.markAdapterReady('a', 'x');
    const unload: EngineOrder = { action: 'unload', model: 'a', adapter: 'x' };
    inventory.recordSent(unload, 2);
    inventory.applyOutcome(unload, OrderOutcome.holds);
    expect(inventory.orderCount).to.equal(undefined);
  });
});
