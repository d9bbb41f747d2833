import { expect } from 'chai';
import { forecastDemand, MoveReason, planPlacement } from '@chervilseam/decisions';

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

describe('A model that callers begin to ask for before it is the busiest (forecastDemand)', () => {
  const wish = (name: string, demand: number, isUrgent = true) => ({ name, demand, isUrgent });

  it('prepares for a rising model what the busiest one needs', () => {
    const forecast = forecastDemand([wish('busy', 1_000), wish('rising', 100)], 10_000);
    expect(forecast.get('busy')).to.equal(1_000);
    expect(forecast.get('rising')).to.be.within(600, 1_000);
  });

  it('prepares nothing for stray requests or for callers that can wait for a load', () => {
    const models = [wish('busy', 1_000), wish('stray', 5), wish('patient', 100, false)];
    const forecast = forecastDemand(models, 10_000);
    expect(forecast.get('stray')).to.equal(5);
    expect(forecast.get('patient')).to.equal(100);
  });

  it('takes only what the demand of today leaves idle', () => {
    const models = [wish('busy', 1_000), wish('second', 500), wish('third', 500)];
    const forecast = forecastDemand(models, 2_600);
    const total = [...forecast.values()].reduce((sum, value) => sum + value, 0);
    expect(total).to.be.within(2_000, 2_600);
  });

  it('adds replicas for it without taking a busy one away', () => {
    const models = [
      { ...model('busy', 1_500), forecast: 1_500 },
      { ...model('rising', 100), forecast: 1_000 },
    ];
    const { moves } = planPlacement({
      models,
      engines: [
        engine('a', ['busy'], { capacityBytes: 1 }),
        engine('b', ['busy'], { capacityBytes: 1 }),
        engine('c', ['rising'], { capacityBytes: 1 }),
        engine('d', []),
      ],
      moveBudget: 4,
      gainShareMin: 0.05,
    });
    const [move] = moves;
    expect(moves).to.have.lengthOf(1);
    expect([move.engine, move.load, move.reason]).to.deep.equal([
      'd',
      'rising',
      MoveReason.forecast,
    ]);
  });

  it('does not give the place of a model that is about to rise to a rare one', () => {
    const rising = { ...model('rising', 100), forecast: 1_000 };
    const input = {
      models: [rising, model('rare', 10, true)],
      engines: [engine('a', ['rising'], { capacityBytes: 1 })],
      moveBudget: 1,
      lossShareMax: 0.35,
    };
    expect(planPlacement(input).moves).to.deep.equal([]);
  });

  it('gives it the place of a model whose callers can wait, not of one that nobody asked for yet', () => {
    const { moves } = planPlacement({
      models: [
        model('hot', 900),
        model('unknown', 0),
        { ...model('patient', 10, true), isPatient: true },
      ],
      engines: [engine('a', ['unknown', 'patient'], { capacityBytes: 2 })],
      moveBudget: 1,
      gainShareMin: 0.1,
      lastReplicaShare: 0.1,
    });
    expect(moves[0].unload).to.deep.equal(['patient']);
  });

  it('prepares for it before a busy model takes its engine for a small gain', () => {
    const { moves } = planPlacement({
      models: [
        { ...model('busy', 1_100), forecast: 1_100 },
        { ...model('rising', 200), forecast: 1_500 },
      ],
      engines: [
        engine('a', ['busy'], { capacityBytes: 1 }),
        engine('b', ['rising'], { capacityBytes: 1 }),
        engine('c', [], { capacityBytes: 1 }),
      ],
      moveBudget: 1,
      gainShareMin: 0.12,
    });
    expect(moves.map(({ load }) => load)).to.deep.equal(['rising']);
  });

  it('brings back a model that callers in a hurry ask for before one whose callers can wait', () => {
    const { moves } = planPlacement({
      models: [{ ...model('patient', 50, true), isPatient: true }, model('hasty', 20, true)],
      engines: [engine('a', [])],
      moveBudget: 1,
    });
    expect(moves.map(({ load }) => load)).to.deep.equal(['hasty']);
  });

  it('takes no last replica of a model that nobody asked for yet for one whose callers can wait', () => {
    const input = {
      models: [{ ...model('patient', 50, true), isPatient: true }, model('unknown', 0)],
      engines: [engine('a', ['unknown'], { capacityBytes: 1 })],
      moveBudget: 1,
      lossShareMax: 0.35,
      lastReplicaShare: 0.3,
    };
    expect(planPlacement({ ...input, patientLossShareMax: 0.2 }).moves).to.deep.equal([]);
  });
});
