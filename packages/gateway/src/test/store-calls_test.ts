import { setTimeout as sleep } from 'node:timers/promises';
import { PartLogger } from '@chervilseam/observe';
import { expect } from 'chai';
import type { ServingConfig } from '@chervilseam/model';
import { ConfigFeed } from '../lib/feed/config-feed.js';
import { GroupMember } from '../lib/owner/group-member.js';
import type { ConfigPage } from '../lib/ports/config-page.js';
import type { StateStore } from '../lib/ports/state-store.js';

/** Several times the pause between two checks of a feed, in milliseconds. */
const CHECKS_MS = 700;

const config = {
  version: 3,
  routes: [],
  services: new Map(),
  limits: {},
} as unknown as ServingConfig;

/** A store that counts its calls. */
class CountingStore implements StateStore {
  configReadCount = 0;
  memberReadCount = 0;
  generation = 1;

  async readConfig(): Promise<ConfigPage> {
    this.configReadCount += 1;
    await sleep(10);
    return { nextOffset: 1, config };
  }

  async readEndpoints(): Promise<{ isWhole: boolean; changes: []; nextOffset: number }> {
    return Promise.resolve({ isWhole: false, changes: [], nextOffset: this.generation });
  }

  async join(): Promise<{ generation: number; shares: readonly number[] }> {
    return Promise.resolve({ generation: this.generation, shares: [1] });
  }

  async leave(): Promise<void> {
    this.generation += 1;
    return Promise.resolve();
  }

  async members(): Promise<readonly string[]> {
    this.memberReadCount += 1;
    return Promise.resolve([]);
  }
}

const logger = PartLogger.forInstance('self', 'fatal')('store');

// With more instances than shares, reads of the configuration and of the group's members by every
// instance were the largest price of a quiet day on a large fleet.
describe('Calls of the store', () => {
  let store: CountingStore;

  beforeEach(() => {
    store = new CountingStore();
  });

  it('leave the configuration to another instance that reports each new version', async () => {
    const state = { isInformed: true };
    const feed = new ConfigFeed({
      store,
      logger,
      nowMs: () => performance.now(),
      isInformed: () => state.isInformed,
      rank: () => 0,
      randomUnit: () => 0,
      readPeer: () => Promise.reject(new Error('unused')),
      onRead: () => undefined,
      onChange: () => undefined,
    });
    feed.start();
    await sleep(CHECKS_MS);
    expect(feed.version).to.equal(3);
    expect(store.configReadCount).to.equal(1);
    state.isInformed = false;
    await sleep(CHECKS_MS);
    feed.stop();
    expect(store.configReadCount).to.be.greaterThan(2);
  }).timeout(5_000);

  const memberReadsAfterChange = async (knowsOwners: boolean): Promise<number> => {
    const member = new GroupMember({
      store,
      logger,
      nowMs: () => performance.now(),
      wallMs: Date.now,
      instance: 'self',
      host: '127.0.0.1',
      port: 1,
      ttlMinMs: 1_000,
      handoverMs: 3_000,
      knowsOwners: () => knowsOwners,
      onMembers: () => undefined,
      onFailure: () => undefined,
    });
    const timer = setInterval(() => member.tick(), 10);
    await sleep(1_200);
    store.generation += 1;
    await sleep(2_000);
    clearInterval(timer);
    return store.memberReadCount;
  };

  it('read the members after a change of the group only while an owner is unknown', async () => {
    expect(await memberReadsAfterChange(true)).to.equal(1);
    store.memberReadCount = 0;
    expect(await memberReadsAfterChange(false)).to.equal(2);
  }).timeout(10_000);
});
