import { expect } from 'chai';
import fc from 'fast-check';
import { planPlacement } from '../../lib/placement/plan-placement.js';
import type { PlacementInput } from '../../lib/placement/placement-input.js';
import { fuzzRuns } from '../fuzz-runs.js';

type Model = PlacementInput['models'][number];
type Engine = PlacementInput['engines'][number];

const model = (name: string, rest: Partial<Model> = {}): Model => ({
  name,
  bytes: 40,
  mustStayResident: true,
  demand: 0,
  ...rest,
});

const engine = (name: string, models: readonly string[], rest: Partial<Engine> = {}): Engine => ({
  name,
  capacityBytes: 100,
  tokensPerSecond: 1_000,
  models,
  ready: models,
  otherBytes: 0,
  ...rest,
});

const arbitraryInput: fc.Arbitrary<PlacementInput> = fc
  .record({
    demands: fc.array(fc.nat({ max: 3_000 }), { minLength: 1, maxLength: 6, size: 'max' }),
    held: fc.array(fc.uniqueArray(fc.nat({ max: 5 }), { maxLength: 2 }), {
      minLength: 1,
      maxLength: 5,
      size: 'max',
    }),
    loading: fc.boolean(),
    moveBudget: fc.nat({ max: 4 }),
  })
  .map(({ demands, held, loading, moveBudget }) => ({
    models: demands.map((demand, index) => model(`m${index}`, { demand })),
    engines: held.map((numbers, index) => {
      const models = numbers.filter((n) => n < demands.length).map((n) => `m${n}`);
      return engine(`e${index}`, models, { ready: loading ? models.slice(1) : models });
    }),
    moveBudget,
  }));

describe('planPlacement', () => {
  it('loads a model without any replica before it adds replicas of a busy one', () => {
    const input = {
      models: [model('a', { demand: 5_000 }), model('b')],
      engines: [engine('e1', ['a']), engine('e2', ['a'])],
      moveBudget: 1,
    };
    expect(planPlacement(input).moves.map(({ load }) => load)).to.deep.equal(['b']);
  });

  it('reports how many bytes a model to be kept resident lacks when it fits on no engine', () => {
    const input = {
      models: [model('a'), model('big', { bytes: 150 })],
      engines: [engine('e1', ['a'])],
      moveBudget: 3,
    };
    expect(planPlacement(input).shortfalls).to.deep.equal([{ model: 'big', bytes: 90 }]);
  });

  it('plans no move when the engines serve all demand', () => {
    const input = {
      models: [model('a', { demand: 300 }), model('b', { demand: 300 })],
      engines: [engine('e1', ['a']), engine('e2', ['b'])],
      moveBudget: 3,
    };
    expect(planPlacement(input)).to.deep.equal({
      moves: [],
      shortfalls: [],
      queued: [],
      servedShare: 1,
    });
  });

  // Rare models of a large fleet: there are more models than places, so nearly every replica is the last
  // one of its model, and requests whose callers could wait for a load were refused.
  it('gives the place of an idle last replica to a latency-tolerant model that requests wait for', () => {
    const input: PlacementInput = {
      models: [
        model('busy', { mustStayResident: false, demand: 600 }),
        model('idle', { mustStayResident: false }),
        model('wanted', {
          mustStayResident: false,
          hasWaitingRequests: true,
          isLatencyTolerant: true,
          demand: 50,
        }),
      ],
      engines: [engine('e1', ['busy', 'idle'])],
      moveBudget: 1,
      lossShareMax: 0.35,
      latencyTolerantLossShareMax: 0.2,
      lastReplicaShare: 0.3,
      idleReplicaShare: 0.1,
    };
    expect(planPlacement(input).moves).to.have.lengthOf(1);
    expect(planPlacement(input).moves[0]).to.include({ engine: 'e1', load: 'wanted' });
    expect(planPlacement(input).moves[0].unload).to.deep.equal(['idle']);
    const [busy, idle, wanted] = input.models;
    const models = [busy, { ...idle, demand: 30 }, wanted];
    expect(planPlacement({ ...input, models }).moves).to.deep.equal([]);
  });

  // A fleet started with free memory and models that no engine held; the first requests for each of them
  // were refused or waited for the load.
  it('loads models without demand into free memory, but unloads nothing for them', () => {
    const input: PlacementInput = {
      models: ['held', 'absent', 'excess'].map((name) => model(name, { mustStayResident: false })),
      engines: [engine('e1', ['held'])],
      moveBudget: 2,
      lastReplicaShare: 0.3,
    };
    const { moves, shortfalls } = planPlacement(input);
    expect(moves.map(({ load, unload }) => [load, ...unload])).to.deep.equal([['absent']]);
    expect(shortfalls).to.deep.equal([]);
    const [held, absent, excess] = input.models;
    const underLoad = [{ ...held, demand: 700 }, absent, excess];
    expect(planPlacement({ ...input, models: underLoad }).moves).to.deep.equal([]);
  });

  it('never unloads the last ready replica or exceeds memory or the move budget', () => {
    fc.assert(
      fc.property(arbitraryInput, (input) => {
        const { moves } = planPlacement(input);
        expect(moves.length).to.be.at.most(input.moveBudget);
        const ready = new Map(input.engines.map((e) => [e.name, new Set(e.ready)]));
        const held = new Map(input.engines.map((e) => [e.name, new Set(e.models)]));
        const readyCount = (name: string): number =>
          [...ready.values()].filter((names) => names.has(name)).length;
        moves.forEach(({ engine: engineName, load, unload }) => {
          unload.forEach((name) => {
            ready.get(engineName)?.delete(name);
            held.get(engineName)?.delete(name);
            expect(readyCount(name), `${name} stays ready`).to.be.greaterThan(0);
          });
          held.get(engineName)?.add(load);
          expect((held.get(engineName)?.size ?? 0) * 40).to.be.at.most(100);
        });
        expect(planPlacement(input).moves).to.deep.equal(moves);
      }),
      { numRuns: fuzzRuns, seed: 21 },
    );
  });
});
