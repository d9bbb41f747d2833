import { expect } from 'chai';
import { planPlacement } from '@chervilseam/decisions';

const TOKENS = 1_000;

const engine = (name: string, models: readonly string[], more: object = {}) => ({
  name,
  capacityBytes: 3,
  tokensPerSecond: TOKENS,
  models,
  ready: models,
  otherBytes: 0,
  ...more,
});

const model = (name: string, demand: number, isAwaited = false) => ({
  name,
  bytes: 1,
  isLabelled: false,
  isAwaited,
  demand,
});

describe('Demand that moves to models that few engines hold (planPlacement)', () => {
  it('gives a model that lacks a whole engine its replicas before rare ones', () => {
    const { moves } = planPlacement({
      models: [model('hot', 4_000), model('rare', 10, true), model('cold', 0)],
      engines: ['a', 'b'].map((name) => engine(name, ['cold', `${name}1`, `${name}2`])),
      moveBudget: 2,
      gainShareMin: 0.1,
    });
    expect(moves[0].load).to.equal('hot');
    expect(moves.map(({ load }) => load)).to.include('rare');
  });

  it('loads where a copy is near, not where the weight store would take seconds', () => {
    const { moves } = planPlacement({
      models: [model('hot', 500)],
      engines: [
        engine('far', [], { loadMsByModel: new Map([['hot', 6_000]]) }),
        engine('near', [], { loadMsByModel: new Map([['hot', 1_000]]) }),
      ],
      moveBudget: 1,
    });
    expect(moves[0].engine).to.equal('near');
  });

  it('takes no busy replica away for a rare model', () => {
    const input = {
      models: [model('hot', 5_000), model('rare', 10, true)],
      engines: [
        engine('a', ['hot'], { capacityBytes: 1 }),
        engine('b', ['hot'], { capacityBytes: 1 }),
      ],
      moveBudget: 2,
    };
    expect(planPlacement({ ...input, lossShareMax: 0.35 }).moves).to.deep.equal([]);
    expect(planPlacement(input).moves.map(({ load }) => load)).to.deep.equal(['rare']);
  });

  it('makes room with the model that has the most other replicas, among equals', () => {
    const { moves } = planPlacement({
      models: [model('single', 0), model('many', 0), model('rare', 10, true)],
      engines: [
        engine('a', ['single', 'many'], { capacityBytes: 2 }),
        engine('b', ['many'], { capacityBytes: 1, ready: [] }),
      ],
      moveBudget: 1,
    });
    expect(moves[0].unload).to.deep.equal(['many']);
  });
});
