import { expect } from 'chai';
import { PartLogger } from '@chervilseam/observe';
import { GroupMember } from '../lib/owner/group-member.js';
import type { StateStore } from '../lib/ports/state-store.js';

const settled = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

// A fleet that starts as a whole learned its owners generation by generation, at the interval of its renewals, and admitted
// no request of a workspace with a quota meanwhile.
describe('GroupMember: a newer generation at another instance', () => {
  let nowMs: number;
  let joinedMs: number[];
  let member: GroupMember;

  beforeEach(async () => {
    nowMs = 0;
    joinedMs = [];
    member = new GroupMember({
      store: {
        join: () => {
          joinedMs.push(nowMs);
          return Promise.resolve({ generation: joinedMs.length, shares: [joinedMs.length] });
        },
        members: () => Promise.resolve([]),
      } as unknown as StateStore,
      logger: PartLogger.forInstance('i', 'fatal')('group'),
      nowMs: () => nowMs,
      wallMs: () => nowMs,
      instance: 'i',
      host: '127.0.0.1',
      port: 1,
      ttlMinMs: 1_000,
      handoverMs: 3_000,
      knowsOwners: () => false,
      onMembers: () => undefined,
      onFailure: () => undefined,
    });
    member.tick();
    await settled();
  });

  const tickAt = async (atMs: number): Promise<void> => {
    nowMs = atMs;
    member.tick();
    await settled();
  };

  it('is fetched soon after the start, at a bounded rate', async () => {
    member.noteGeneration(2);
    await tickAt(100);
    expect(joinedMs).to.deep.equal([0]);
    await tickAt(200);
    expect(joinedMs).to.deep.equal([0, 200]);
    expect(member.generation).to.equal(2);
  });

  it('is not fetched ahead of time when it is known, or later than the start', async () => {
    member.noteGeneration(1);
    await tickAt(300);
    expect(joinedMs).to.deep.equal([0]);
    await tickAt(6_000);
    member.noteGeneration(9);
    await tickAt(6_300);
    expect(joinedMs).to.deep.equal([0, 6_000]);
  });
});
