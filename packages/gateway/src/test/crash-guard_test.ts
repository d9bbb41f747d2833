import { PartLogger } from '@chervilseam/observe';
import { expect } from 'chai';
import { CrashGuard } from '../lib/dispatch/crash-guard.js';
import { ProcessState } from '../lib/dispatch/process-state.js';
import { Endpoint } from '../lib/feed/endpoint.js';
import { runIdOf } from '../lib/feed/run-id-of.js';
import { endpointRecordOf } from './endpoint-record-of.js';

const PARTS = ['caller', 'bad', 'own'];

describe('CrashGuard', () => {
  let nowMs: number;
  let state: ProcessState;
  let isExaminer: boolean;
  let evidenceCount: number;
  const endpoints = new Map<string, Endpoint>();

  const createGuard = (): CrashGuard =>
    new CrashGuard({
      nowMs: () => nowMs,
      logger: PartLogger.forInstance('entry', 'fatal')('crash'),
      probe: () => Promise.resolve(state),
      endpointOfRun: (run) => [...endpoints.values()].find(({ record }) => runIdOf(record) === run),
      isExaminer: () => isExaminer,
      onEnded: () => {},
      onWithheld: () => {},
      onEvidence: () => {
        evidenceCount += 1;
      },
    });

  const breakOff = async (guard: CrashGuard, ids: readonly string[]): Promise<void> => {
    for (let index = 0; index < ids.length; index += 1) {
      const endpoint = endpoints.get(ids[index]) as Endpoint;
      // eslint-disable-next-line no-await-in-loop
      await guard.brokeOff(endpoint, { parts: PARTS, isTest: guard.isSuspect(PARTS) });
    }
  };

  beforeEach(() => {
    nowMs = 1_000;
    evidenceCount = 0;
    state = ProcessState.ended;
    isExaminer = false;
    ['a', 'b', 'c', 'd'].forEach((id) => endpoints.set(id, new Endpoint(endpointRecordOf(id))));
  });

  afterEach(() => {
    endpoints.forEach((endpoint) => endpoint.close());
    endpoints.clear();
  });

  it('withholds a prompt after the ends of three engines', async () => {
    const guard = createGuard();
    await breakOff(guard, ['a', 'b']);
    expect(guard.withheld(PARTS)).to.equal(undefined);
    await breakOff(guard, ['c']);
    expect(guard.withheld(PARTS)).to.include({ endCount: 3 });
    expect(evidenceCount).to.equal(3);
  });

  // A faulty engine resets single connections, and a cut link breaks or silences them: neither ends engines.
  [ProcessState.running, ProcessState.unknown].forEach((probed) => {
    it(`suspects nothing when the process behind a broken connection is ${probed}`, async () => {
      const guard = createGuard();
      state = probed;
      await breakOff(guard, ['a', 'b', 'c', 'd', 'a', 'b', 'c', 'd']);
      expect(guard.isSuspect(PARTS)).to.equal(false);
      expect(guard.withheld(PARTS)).to.equal(undefined);
    });
  });

  it('takes a refused connection for the end of the engine, but only soon after the run broke off', async () => {
    const guard = createGuard();
    state = ProcessState.unknown;
    await breakOff(guard, ['a', 'b']);
    guard.connectionRefused(endpoints.get('a') as Endpoint);
    expect(guard.isSuspect(PARTS)).to.equal(true);
    expect(Object.keys(guard.published())).to.deep.equal(['a@1']);
    nowMs += 5_000;
    guard.expire();
    guard.connectionRefused(endpoints.get('b') as Endpoint);
    expect(Object.keys(guard.published())).to.deep.equal(['a@1']);
  });

  // Each of three instances saw one end only; a later one saw none.
  it('withholds what instances know together, also at one that starts later', async () => {
    const guards = [createGuard(), createGuard(), createGuard()];
    await breakOff(guards[0], ['a']);
    guards[1].merge(guards[0].published());
    await breakOff(guards[1], ['b']);
    await breakOff(guards[2], ['c']);
    guards[2].merge(structuredClone(guards[1].published()));
    const later = createGuard();
    later.merge(structuredClone(guards[2].published()));
    expect(later.withheld(PARTS)).to.include({ endCount: 3 });
    guards[0].proven(PARTS);
    [guards[1], guards[2]].forEach((guard) => guards[0].merge(structuredClone(guard.published())));
    guards[0].proven(PARTS);
    later.merge(structuredClone(guards[0].published()));
    expect(later.withheld(PARTS)).to.equal(undefined);
  });

  it('sends no requests to an engine whose end another instance saw', async () => {
    const [witness, other] = [createGuard(), createGuard()];
    await breakOff(witness, ['a']);
    endpoints.set('a', new Endpoint(endpointRecordOf('a')));
    other.merge(structuredClone(witness.published()));
    expect(endpoints.get('a')?.health.isUnreachable(nowMs + 3_000)).to.equal(true);
    expect(endpoints.get('b')?.health.isUnreachable(nowMs)).to.equal(false);
    const restarted = { ...endpointRecordOf('a'), bornMs: 2 };
    endpoints.set('a', new Endpoint(restarted));
    createGuard().merge(structuredClone(witness.published()));
    expect(endpoints.get('a')?.health.isUnreachable(nowMs)).to.equal(false);
  });

  it('accepts the state of an instance of an earlier version', () => {
    const guard = createGuard();
    guard.merge(undefined);
    expect(guard.isSuspect(PARTS)).to.equal(false);
  });

  it('lets only one instance try a withheld part, and one request of it', async () => {
    const guard = createGuard();
    await breakOff(guard, ['a', 'b', 'c']);
    nowMs += 11_000;
    expect(guard.withheld(PARTS)).to.include({ trialInMs: 0 });
    isExaminer = true;
    expect(guard.withheld(PARTS)).to.equal(undefined);
    expect(guard.withheld(PARTS)).to.include({ trialInMs: 0 });
  });
});
