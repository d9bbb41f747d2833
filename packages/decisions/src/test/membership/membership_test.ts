import { expect } from 'chai';
import { MembershipWorld } from './membership-world.js';

const names = (world: MembershipWorld, domain: string): string[] =>
  [...world.nodes.values()]
    .filter(({ self }) => self.failureDomain === domain)
    .map(({ self }) => self.name);

describe('Membership', () => {
  it('marks a stopped instance dead on every other instance', () => {
    const world = new MembershipWorld(12, 3, 1);
    world.run(3_000);
    world.nodes.delete('i3');
    world.run(15_000);
    expect(world.allSeeStateOf('i3', 'dead')).to.equal(true);
    expect(world.falseDeadCount).to.equal(0);
  });

  it('marks no running instance dead with 1 % datagram loss and suspensions of 2 s', () => {
    const world = new MembershipWorld(24, 3, 2);
    world.lossRate = 0.01;
    for (let turn = 0; turn < 24; turn += 1) {
      world.suspended.add(`i${turn}`);
      world.run(2_000);
      world.suspended.delete(`i${turn}`);
      world.run(1_000);
    }
    world.run(10_000);
    expect(world.falseDeadCount).to.equal(0);
  });

  it('spreads the state leaving of an instance to all others within 3 s', () => {
    const world = new MembershipWorld(24, 3, 3);
    world.run(3_000);
    world.nodes.get('i5')?.announce('leaving');
    world.run(3_000);
    expect(world.allSeeStateOf('i5', 'leaving')).to.equal(true);
  });

  it('shows an instance alive again after a restart under the same name', () => {
    const world = new MembershipWorld(12, 3, 4);
    world.run(2_000);
    world.restart('i4');
    world.run(8_000);
    expect(world.allSeeStateOf('i4', 'alive')).to.equal(true);
    const bootIds = [...world.nodes.values()].map((node) => node.members.get('i4')?.life);
    expect(new Set(bootIds)).to.deep.equal(new Set(['i4-again']));
  });

  it('shows an instance alive again that was marked dead during a long suspension', () => {
    const world = new MembershipWorld(12, 3, 5);
    world.run(2_000);
    world.suspended.add('i7');
    world.run(20_000);
    expect(world.allSeeStateOf('i7', 'dead')).to.equal(true);
    world.suspended.delete('i7');
    world.run(15_000);
    expect(world.allSeeStateOf('i7', 'alive')).to.equal(true);
  });

  it('merges the group again after a failure domain was partitioned for 60 s', () => {
    const world = new MembershipWorld(12, 3, 6);
    world.run(2_000);
    const inside = names(world, 'd0');
    const outside = [...names(world, 'd1'), ...names(world, 'd2')];
    world.blockBetween(inside, outside);
    world.run(60_000);
    inside.forEach((name) => {
      const node = world.nodes.get(name);
      expect(node?.activeMembers().map((member) => member.name)).to.have.members(inside);
    });
    world.blocked.clear();
    world.run(60_000);
    world.nodes.forEach((node) => expect(node.activeMembers()).to.have.length(12));
  });

  it('keeps an instance alive whose datagrams to one other instance are blocked', () => {
    const world = new MembershipWorld(12, 1, 7);
    world.run(2_000);
    world.blockBetween(['i1'], ['i2'], false);
    world.run(30_000);
    expect(world.falseDeadCount).to.equal(0);
  });

  it('marks no instance dead when 48 instances start at the same time', () => {
    const world = new MembershipWorld(48, 4, 8);
    world.run(10_000);
    world.nodes.forEach((node) => expect(node.activeMembers()).to.have.length(48));
    expect(world.falseDeadCount).to.equal(0);
  });
});
