import { expect } from 'chai';
import { KeyWorld } from './key-world.js';

const runOnce = (world: KeyWorld, home: number, key: string): void => {
  world.claim(home, key);
  world.step(home, 'ok');
  world.step(home, 'ok');
  world.run('ran');
  world.step(home, 'ok');
  world.step(home, 'ok');
};

describe('KeyHome', () => {
  it('replays the recorded outcome on another home', () => {
    const world = new KeyWorld(2);
    runOnce(world, 0, 'k1');
    runOnce(world, 1, 'k1');
    expect(world.verdicts).to.deep.equal(['granted', 'replay']);
    expect(world.effects.get('k1')).to.equal(1);
  });

  it('answers "expired" while records are missing that may concern the key', () => {
    const world = new KeyWorld(2);
    runOnce(world, 0, 'k1');
    world.log.expireBefore(3);
    runOnce(world, 1, 'k1');
    expect(world.verdicts).to.deep.equal(['granted', 'expired']);
  });

  it('restores all keys from a snapshot and applies the later records to it', () => {
    const world = new KeyWorld(2);
    runOnce(world, 0, 'k1');
    runOnce(world, 0, 'k2');
    runOnce(world, 0, 'k3');
    runOnce(world, 0, 'k4');
    const types = world.log.records.map(({ value }) => (value as { type: string }).type);
    expect(types).to.include('snapshot');
    world.log.expireBefore(3);
    runOnce(world, 1, 'k1');
    expect(world.verdicts.at(-1)).to.equal('replay');
  });

  it('answers "unordered" while the log is down, and nothing runs', () => {
    const world = new KeyWorld(1);
    world.claim(0, 'k1');
    world.step(0, 'dropped');
    world.step(0, 'dropped');
    expect(world.verdicts).to.deep.equal(['unordered']);
    world.run('ran');
    expect(world.effects.size).to.equal(0);
  });

  it('keeps holding the key of a dispatcher that was killed', () => {
    const world = new KeyWorld(2);
    world.claim(0, 'k1');
    world.step(0, 'ok');
    world.step(0, 'ok');
    world.kill(0);
    runOnce(world, 1, 'k1');
    expect(world.verdicts).to.deep.equal(['granted', 'held']);
    expect(world.effects.get('k1')).to.equal(1);
  });
});
