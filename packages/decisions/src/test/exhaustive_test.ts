import { expect } from 'chai';
import { forEachSequence } from './for-each-sequence.js';
import { KeyWorld } from './keys/key-world.js';
import { DomainWorld } from './memory/domain-world.js';

type KeyStep = (world: KeyWorld) => void;
type DomainStep = (world: DomainWorld) => void;

const keySteps: readonly KeyStep[] = [
  (world) => world.step(0, 'ok'),
  (world) => world.step(1, 'ok'),
  (world) => world.step(0, 'answerLost'),
  (world) => world.step(1, 'delayed'),
  (world) => world.run('ran'),
  (world) => world.run('refused'),
  (world) => world.log.deliver(),
];

const domainSteps: readonly DomainStep[] = [
  (world) => {
    world.catchUp(0);
    world.send(0);
  },
  (world) => {
    world.claim(1, 'e0');
    world.catchUp(1);
    world.observe(1, 'e0', 0);
    world.catchUp(1);
  },
  (world) => world.reserve(0, 'e0', 'load', 'model/b@1'),
  (world) => {
    world.reserve(1, 'e0', 'load', 'model/c@1');
    world.catchUp(1);
    world.send(1);
  },
  (world) => world.settle('e0', 0, false),
  (world) => world.observe(1, 'e0', 1),
  (world) => world.engines.get('e0')?.restart(),
];

const print = (text: string): void => {
  process.stdout.write(`    ${text}\n`);
};

describe('all sequences of six steps', () => {
  it('run at most one attempt per key, with two homes and two claims', () => {
    const count = forEachSequence(keySteps, 6, (sequence) => {
      const world = new KeyWorld(2);
      world.claim(0, 'k');
      world.claim(1, 'k');
      sequence.forEach((step) => step(world));
      world.settle();
      world.run('ran');
      world.run('ran');
      if (world.violations.length > 0) expect(world.violations).to.deep.equal([]);
    });
    print(`${count} sequences of two claims, two homes and the log`);
    expect(count).to.equal(keySteps.length ** 6);
  });

  [true, false].forEach((checksFencing) => {
    it(`never overcommit memory, with two owners ${checksFencing ? 'and' : 'without'} fencing`, () => {
      const count = forEachSequence(domainSteps, 6, (sequence) => {
        const world = new DomainWorld(2, checksFencing);
        world.claim(0, 'e0');
        world.catchUp(0);
        world.observe(0, 'e0', 0);
        world.catchUp(0);
        sequence.forEach((step) => step(world));
        world.check();
        if (world.violations.length > 0) expect(world.violations).to.deep.equal([]);
      });
      print(`${count} sequences of two owners, one engine and the log`);
      expect(count).to.equal(domainSteps.length ** 6);
    });
  });
});
