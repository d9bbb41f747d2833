import { MoveReason, planPlacement } from '@chervilseam/decisions';
import type { PlacementInput } from '@chervilseam/decisions';
import { expect } from 'chai';

const TURN_MS = 2_000;

const engine = (name: string, models: readonly string[], capacityBytes = 3) => ({
  name,
  capacityBytes,
  tokensPerSecond: 1_000,
  models,
  ready: models,
  otherBytes: 0,
});

const rare = (name: string, more: Partial<PlacementInput['models'][number]> = {}) => ({
  name,
  bytes: 1,
  mustStayResident: false,
  hasWaitingRequests: true,
  isLatencyTolerant: true,
  isLateAfterLoad: true,
  demand: 50,
  ...more,
});

const busy = (name: string, demand: number) => ({
  name,
  bytes: 1,
  mustStayResident: false,
  demand,
});

const limits = {
  moveBudget: 2,
  turnMs: TURN_MS,
  gainShareMin: 0.12,
  lossShareMax: 0.35,
  latencyTolerantLossShareMax: 0.2,
  lastReplicaShare: 0.3,
  idleReplicaShare: 0.1,
};

// SHORT: models without a replica were passed over for a whole day, by models with more demand of the moment and by
// further replicas of busy ones.
describe('planPlacement for models in turn', () => {
  it('loads the model that has waited longest, not the one with most demand', () => {
    const { moves, queued } = planPlacement({
      ...limits,
      models: [rare('new', { demand: 400 }), rare('old', { waitedMs: 9_000 }), rare('held')],
      engines: [engine('e1', ['held'], 1)],
      moveBudget: 2,
    });
    expect(moves.map(({ load, reason }) => [load, reason])).to.deep.equal([
      ['old', MoveReason.turn],
    ]);
    expect(queued).to.deep.equal(['new']);
  });

  it('lets a model in turn go before further replicas of a busy one', () => {
    const { moves } = planPlacement({
      ...limits,
      models: [rare('old', { waitedMs: 9_000 }), busy('busy', 9_000), busy('idle', 0)],
      engines: [engine('e1', ['busy', 'idle'], 2), engine('e2', ['busy'], 1)],
      moveBudget: 1,
    });
    expect(moves.map(({ load }) => load)).to.deep.equal(['old']);
  });

  it('loads a latency-critical model without a replica before it', () => {
    const { moves } = planPlacement({
      ...limits,
      models: [
        rare('old', { waitedMs: 9_000 }),
        { ...busy('urgent', 10), hasWaitingRequests: true },
      ],
      engines: [engine('e1', [], 1), engine('e2', [], 1)],
    });
    expect(moves.map(({ load }) => load)).to.deep.equal(['urgent', 'old']);
  });

  it('takes a further replica of a busy model up to a share of the memory, and never its last one', () => {
    const models = [rare('old', { waitedMs: 9_000 }), busy('busy', 9_000)];
    const replicas = ['a', 'b', 'c', 'd'].map((name) => engine(name, ['busy'], 1));
    const { moves } = planPlacement({ ...limits, models, engines: replicas });
    expect(moves.map(({ unload }) => unload)).to.deep.equal([['busy']]);
    const last = planPlacement({ ...limits, models, engines: [engine('a', ['busy'], 1)] });
    expect(last.moves).to.deep.equal([]);
    const held = [engine('e', ['held'], 1), ...replicas.slice(0, 3)];
    const full = planPlacement({ ...limits, models: [...models, rare('held')], engines: held });
    expect(full.moves.map(({ unload }) => unload)).to.deep.equal([['held']]);
  });

  it('keeps the last replica for callers who were told to return', () => {
    const plan = (hasReturningCallers: boolean) =>
      planPlacement({
        ...limits,
        models: [rare('promised', { hasReturningCallers }), rare('old', { waitedMs: 9_000 })],
        engines: [engine('e1', ['promised'], 1)],
      });
    expect(plan(false).moves.map(({ load }) => load)).to.deep.equal(['old']);
    expect(plan(true).moves).to.deep.equal([]);
    expect(plan(true).shortfalls.map(({ model }) => model)).to.deep.equal(['old']);
  });

  it('lists the models in turn that have to wait for a move, longest first', () => {
    const waiting = [3_000, 9_000, 6_000].map((waitedMs) => rare(`w${waitedMs}`, { waitedMs }));
    const { moves, queued } = planPlacement({
      ...limits,
      models: waiting,
      engines: [engine('e1', []), engine('e2', [])],
      moveBudget: 1,
    });
    expect(moves.map(({ load }) => load)).to.deep.equal(['w9000']);
    expect(queued).to.deep.equal(['w6000', 'w3000']);
  });
});

// A model that demand had moved to got two replicas at once, one for its demand and one since it had none.
describe('planPlacement for a busy model without a replica', () => {
  it('loads one replica of it', () => {
    const { moves } = planPlacement({
      ...limits,
      models: [{ ...busy('new', 1_200), hasWaitingRequests: true }, busy('idle', 0)],
      engines: [engine('e1', ['idle'], 1), engine('e2', [], 1), engine('e3', ['idle'], 1)],
      moveBudget: 4,
    });
    expect(moves.filter(({ reason }) => reason === MoveReason.reach)).to.deep.equal([]);
    expect(moves[0].reason).to.equal(MoveReason.capacity);
  });
});
