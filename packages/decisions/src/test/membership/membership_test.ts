import { expect } from 'chai';
import { MembershipWorld } from './membership-world.js';

const names = (world: MembershipWorld, domain: string): string[] =>
  [...world.nodes.values()]
    .filter(({ self }) => self.failureDomain === domain)
    .map(({ self }) => self.name);

describe('Membership', () => {
  it('notices a death everywhere', () => {
    const world = new MembershipWorld(12, 3, 1);
    world.run(3_000);
    world.nodes.delete('i3');
    world.run(15_000);
    expect(world.allThink('i3', 'dead')).to.equal(true);
    expect(world.falseDeaths).to.equal(0);
  });

  it('holds nobody for dead with 1 % loss and pauses of 2 s', () => {
    const world = new MembershipWorld(24, 3, 2);
    world.lossShare = 0.01;
    for (let turn = 0; turn < 24; turn += 1) {
      world.paused.add(`i${turn}`);
      world.run(2_000);
      world.paused.delete(`i${turn}`);
      world.run(1_000);
    }
    world.run(10_000);
    expect(world.falseDeaths).to.equal(0);
  });

  it('spreads that an instance is leaving within 3 s', () => {
    const world = new MembershipWorld(24, 3, 3);
    world.run(3_000);
    world.nodes.get('i5')?.announce('leaving');
    world.run(3_000);
    expect(world.allThink('i5', 'leaving')).to.equal(true);
  });

  it('takes back an instance that was restarted under its name', () => {
    const world = new MembershipWorld(12, 3, 4);
    world.run(2_000);
    world.restart('i4');
    world.run(8_000);
    expect(world.allThink('i4', 'alive')).to.equal(true);
    const lives = [...world.nodes.values()].map((node) => node.members.get('i4')?.life);
    expect(new Set(lives)).to.deep.equal(new Set(['i4-again']));
  });

  it('takes back an instance that was held for dead after a long pause', () => {
    const world = new MembershipWorld(12, 3, 5);
    world.run(2_000);
    world.paused.add('i7');
    world.run(20_000);
    expect(world.allThink('i7', 'dead')).to.equal(true);
    world.paused.delete('i7');
    world.run(15_000);
    expect(world.allThink('i7', 'alive')).to.equal(true);
  });

  it('heals after a failure domain was cut off for long', () => {
    const world = new MembershipWorld(12, 3, 6);
    world.run(2_000);
    const inside = names(world, 'd0');
    const outside = [...names(world, 'd1'), ...names(world, 'd2')];
    world.cutBetween(inside, outside);
    world.run(60_000);
    inside.forEach((name) => {
      const node = world.nodes.get(name);
      expect(node?.present().map((member) => member.name)).to.have.members(inside);
    });
    world.cut.clear();
    world.run(60_000);
    world.nodes.forEach((node) => expect(node.present()).to.have.length(12));
  });

  it('keeps an instance alive whose way is cut in one direction to one other', () => {
    const world = new MembershipWorld(12, 1, 7);
    world.run(2_000);
    world.cutBetween(['i1'], ['i2'], false);
    world.run(30_000);
    expect(world.falseDeaths).to.equal(0);
  });

  it('starts all at once', () => {
    const world = new MembershipWorld(48, 4, 8);
    world.run(10_000);
    world.nodes.forEach((node) => expect(node.present()).to.have.length(48));
    expect(world.falseDeaths).to.equal(0);
  });
});
