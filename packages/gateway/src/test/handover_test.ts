import { expect } from 'chai';
import { Handover } from '../lib/owner/handover.js';
import { instanceStateOf as state } from './instance-state-of.js';

describe('Handover', () => {
  let handover: Handover;

  beforeEach(() => {
    handover = new Handover('self');
    handover.hear(state({ generation: 3, shares: [1] }));
  });

  it('believes an owner before that is cut off from the store once its lease has lapsed', () => {
    const cutOff = state({ generation: 3, hasLapsed: true, orderAgesMs: { 1: 900 } });
    expect(handover.lastActMs(1, 4, [cutOff], 10_000)).to.equal(9_100);
  });

  it('believes the owner before once it has heard of the change', () => {
    const unaware = state({ generation: 3, shares: [1] });
    expect(handover.lastActMs(1, 4, [unaware], 10_000)).to.equal(undefined);
    const aware = state({ generation: 4, orderAgesMs: { 1: 700 } });
    expect(handover.lastActMs(1, 4, [aware], 10_000)).to.equal(9_300);
  });

  it('waits for an owner before that is silent or was never heard', () => {
    expect(handover.lastActMs(1, 4, [], 10_000)).to.equal(undefined);
    expect(handover.lastActMs(2, 4, [state({})], 10_000)).to.equal(undefined);
  });

  it('counts the latest order of any instance in the share', () => {
    const states = [state({}), state({ instance: 'other', orderAgesMs: { 1: 200 } })];
    expect(handover.lastActMs(1, 4, states, 10_000)).to.equal(9_800);
  });

  it('tells its own orders until no bound reaches back to them', () => {
    handover.ordered(5, 1_000);
    expect(handover.orderAgesMs(1_500)).to.deep.equal({ 5: 500 });
    expect(handover.orderAgesMs(20_000)).to.deep.equal({});
  });

  it('does not take an owner of long ago for the one before: it stood still meanwhile', () => {
    const longAgo = state({ generation: 9, shares: [] });
    const between = state({ instance: 'between', generation: 8, shares: [1] });
    expect(handover.lastActMs(1, 9, [longAgo, between], 10_000)).to.equal(undefined);
    expect(handover.lastActMs(1, 9, [longAgo], 10_000)).to.equal(undefined);
  });

  it('waits when it has just started and nobody has told who the owner before was', () => {
    const fresh = new Handover('self');
    expect(fresh.lastActMs(1, 9, [state({ generation: 9 })], 10_000)).to.equal(undefined);
  });
});
