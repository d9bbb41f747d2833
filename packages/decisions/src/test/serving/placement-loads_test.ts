import { expect } from 'chai';
import { forecastDemand, MoveReason, planPlacement } from '@chervilseam/decisions';

const TOKENS = 1_000;

const engine = (name: string, models: readonly string[], overrides: object = {}) => ({
  name,
  capacityBytes: 3,
  tokensPerSecond: TOKENS,
  models,
  ready: models,
  otherBytes: 0,
  ...overrides,
});

const model = (name: string, demand: number, hasWaitingRequests = false) => ({
  name,
  bytes: 1,
  mustStayResident: false,
  hasWaitingRequests,
  demand,
});

describe('planPlacement when demand shifts to models with few replicas', () => {
  it('adds replicas of a model that lacks a whole engine before it places a rare one', () => {
    const { moves } = planPlacement({
      models: [model('hot', 4_000), model('rare', 10, true), model('cold', 0)],
      engines: ['a', 'b'].map((name) => engine(name, ['cold', `${name}1`, `${name}2`])),
      moveBudget: 2,
      gainShareMin: 0.1,
    });
    expect(moves[0].load).to.equal('hot');
    expect(moves.map(({ load }) => load)).to.include('rare');
  });

  it('prefers the engine with the shorter load time', () => {
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

  it('unloads no busy replica for a rarely requested model when losses are limited', () => {
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

  it('unloads the model with the most replicas when values are equal', () => {
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

describe('forecastDemand and planPlacement for a model whose demand begins to rise', () => {
  const forecastModel = (name: string, demand: number, isCritical = true) => ({
    name,
    demand,
    isCritical,
  });

  it('forecasts for a rising model nearly the demand of the busiest one', () => {
    const forecast = forecastDemand(
      [forecastModel('busy', 1_000), forecastModel('rising', 100)],
      10_000,
    );
    expect(forecast.get('busy')).to.equal(1_000);
    expect(forecast.get('rising')).to.be.within(600, 1_000);
  });

  it('forecasts no rise for stray requests or latency-tolerant models', () => {
    const models = [
      forecastModel('busy', 1_000),
      forecastModel('stray', 5),
      forecastModel('tolerant', 100, false),
    ];
    const forecast = forecastDemand(models, 10_000);
    expect(forecast.get('stray')).to.equal(5);
    expect(forecast.get('tolerant')).to.equal(100);
  });

  it('forecasts no more than the present demand leaves idle', () => {
    const models = [
      forecastModel('busy', 1_000),
      forecastModel('second', 500),
      forecastModel('third', 500),
    ];
    const forecast = forecastDemand(models, 2_600);
    const total = [...forecast.values()].reduce((sum, value) => sum + value, 0);
    expect(total).to.be.within(2_000, 2_600);
  });

  it('adds replicas of the rising model without unloading a busy one', () => {
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

  it('does not unload a rising model for a rarely requested one', () => {
    const rising = { ...model('rising', 100), forecast: 1_000 };
    const input = {
      models: [rising, model('rare', 10, true)],
      engines: [engine('a', ['rising'], { capacityBytes: 1 })],
      moveBudget: 1,
      lossShareMax: 0.35,
    };
    expect(planPlacement(input).moves).to.deep.equal([]);
  });

  it('unloads a latency-tolerant model rather than the last replica of one without demand', () => {
    const { moves } = planPlacement({
      models: [
        model('hot', 900),
        model('unknown', 0),
        { ...model('tolerant', 10, true), isLatencyTolerant: true },
      ],
      engines: [engine('a', ['unknown', 'tolerant'], { capacityBytes: 2 })],
      moveBudget: 1,
      gainShareMin: 0.1,
      lastReplicaShare: 0.1,
    });
    expect(moves[0].unload).to.deep.equal(['tolerant']);
  });

  it('adds the replica of a rising model before one of a busy model that gains little', () => {
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

  it('loads a latency-critical model before a latency-tolerant one', () => {
    const { moves } = planPlacement({
      models: [
        { ...model('tolerant', 50, true), isLatencyTolerant: true },
        model('critical', 20, true),
      ],
      engines: [engine('a', [])],
      moveBudget: 1,
    });
    expect(moves.map(({ load }) => load)).to.deep.equal(['critical']);
  });

  it('keeps the last replica of a model without demand from a latency-tolerant one', () => {
    const input = {
      models: [{ ...model('tolerant', 50, true), isLatencyTolerant: true }, model('unknown', 0)],
      engines: [engine('a', ['unknown'], { capacityBytes: 1 })],
      moveBudget: 1,
      lossShareMax: 0.35,
      lastReplicaShare: 0.3,
    };
    expect(planPlacement({ ...input, latencyTolerantLossShareMax: 0.2 }).moves).to.deep.equal([]);
  });
});
