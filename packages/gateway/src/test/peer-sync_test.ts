import { setTimeout as sleep } from 'node:timers/promises';
import { PartLogger } from '@chervilseam/observe';
import { expect } from 'chai';
import type { ListUpdate } from '../lib/feed/list-update.js';
import type { InstanceState } from '../lib/peer/instance-state.js';
import { PeerSync } from '../lib/peer/peer-sync.js';
import { PeerTable } from '../lib/peer/peer-table.js';
import { instanceStateOf } from './instance-state-of.js';

const TICK_MS = 10;
/** Long enough for several rounds of the state exchange, in milliseconds. */
const ROUNDS_MS = 1_500;
const HOST = '127.0.0.1';

/** An instance reduced to its peer table and its state exchange, with one request in progress. */
class Instance {
  readonly table = new PeerTable();
  readonly updates: ListUpdate[] = [];
  offset = 1;
  readonly ageMs = 0;
  readonly isReadFailing = false;
  readonly whole = undefined;
  readonly sync: PeerSync;
  readonly port: number;
  shares: number[];
  stateCount = 0;
  noOwnerCount = 0;
  #sequence = 0;
  readonly #name: string;
  readonly #timer: NodeJS.Timeout;

  constructor(name: string, port: number, shares: number[]) {
    this.#name = name;
    this.port = port;
    this.shares = shares;
    this.sync = new PeerSync({
      instance: name,
      failureDomain: 'a',
      secret: 'secret',
      table: this.table,
      logger: PartLogger.forInstance(name, 'fatal')('peer'),
      nowMs: () => performance.now(),
      isOwner: () => this.shares.length > 0,
      ownState: () => this.#state(),
      state: () => ({
        ...this.#state(),
        ...this.table.sumsWith(this.#state(), performance.now()),
      }),
      loadAdapter: () => Promise.resolve(false),
      beginMove: () => false,
      quotaCall: () => ({}),
      config: () => Promise.reject(new Error('no configuration is in force')),
      list: this,
      onState: () => {
        this.stateCount += 1;
      },
      onNoOwner: () => {
        this.noOwnerCount += 1;
      },
    });
    this.#timer = setInterval(() => {
      this.table.removeExpired(performance.now());
      this.sync.tick();
    }, TICK_MS);
  }

  since(fromOffset: number | undefined): ListUpdate | undefined {
    if (fromOffset === undefined) return undefined;
    return { isWhole: false, changes: [], fromOffset, nextOffset: this.offset };
  }

  applyUpdate(update: ListUpdate): void {
    this.updates.push(update);
    this.offset = update.nextOffset;
  }

  async listen(): Promise<void> {
    await this.sync.listen({ host: HOST, port: this.port });
  }

  close(): void {
    clearInterval(this.#timer);
    this.sync.close();
  }

  get othersLoadCount(): number {
    return this.table.loads(performance.now()).engine?.count ?? 0;
  }

  #state(): InstanceState {
    this.#sequence += 1;
    return {
      instance: this.#name,
      failureDomain: 'a',
      host: HOST,
      port: this.port,
      sequence: this.#sequence,
      startedMs: 1,
      uptimeMs: 60_000,
      isStopping: false,
      instanceCount: 1,
      configVersion: 1,
      loads: { engine: { count: 1, unreadTokenCount: 10 } },
      demand: { model: 100 },
      urgentModels: [],
      awaited: [],
      usedAdapters: {},
      generation: 1,
      hasLapsed: false,
      shares: this.shares,
      orderAgesMs: {},
      engines: {},
      engineEnds: {},
      owners: this.sync.owners,
    };
  }
}

const ownerState = (more: Partial<InstanceState>): InstanceState =>
  instanceStateOf({ instance: 'other', shares: [1], ...more });

describe('PeerTable: whether the store is unreachable for all instances or only for this one', () => {
  it('is not unanimous without other instances', () => {
    expect(new PeerTable().isUnanimous(4, 0)).to.equal(false);
  });

  it('is unanimous while all instances are reachable and none knows a newer generation', () => {
    const table = new PeerTable();
    table.updateOwner(ownerState({}), 1_000);
    expect(table.isUnanimous(4, 1_200)).to.equal(true);
    expect(table.isUnanimous(3, 1_200)).to.equal(false);
  });

  it('is not unanimous once an instance is unreachable or aggregates the states of others', () => {
    const table = new PeerTable();
    table.updateOwner(ownerState({}), 1_000);
    expect(table.isUnanimous(4, 2_000)).to.equal(false);
    table.updateOwner(ownerState({ instance: 'aggregator', instanceCount: 2 }), 1_000);
    expect(table.isUnanimous(4, 1_100)).to.equal(false);
  });
});

describe('PeerSync with more instances than shares', () => {
  let instances: Instance[];

  beforeEach(async () => {
    const names = ['a', 'b', 'c', 'd', 'e', 'f'];
    instances = names.map((name, at) => new Instance(name, 23_710 + at, at < 2 ? [at] : []));
    await Promise.all(instances.map((instance) => instance.listen()));
    // As with seeds, each instance knows only the first one.
    instances.forEach(({ sync }) => sync.add({ host: HOST, port: 23_710 }));
  });

  afterEach(() => instances.forEach((instance) => instance.close()));

  it('gives every instance the load of all others, each counted once', async () => {
    await sleep(ROUNDS_MS);
    expect(instances.map(({ othersLoadCount }) => othersLoadCount)).to.deep.equal([
      5, 5, 5, 5, 5, 5,
    ]);
    expect(instances.map(({ table }) => table.instanceCount())).to.deep.equal([5, 5, 5, 5, 5, 5]);
  });

  it('lets every instance find the owner of a share', async () => {
    await sleep(ROUNDS_MS);
    const owners = instances.map(({ table }) => table.ownerOf(1, performance.now())?.instance);
    expect(owners.filter((name) => name === 'b')).to.have.lengthOf(5);
  });

  it('tells every other instance of changes of the endpoints list, and since when', async () => {
    await sleep(ROUNDS_MS);
    instances[1].offset = 7;
    instances[1].sync.relay(1);
    await sleep(200);
    instances[1].offset = 9;
    instances[1].sync.relay(1);
    await sleep(200);
    const others = instances.filter((_, index) => index !== 1);
    expect(instances[1].updates).to.deep.equal([]);
    others.forEach(({ updates }) => {
      const ranges = updates.map(({ fromOffset, nextOffset }) => [fromOffset, nextOffset]);
      expect(ranges).to.deep.equal([
        [1, 7],
        [7, 9],
      ]);
    });
  });

  // On a fleet of 195 instances all followers kept the one owner that existed when they started, which
  // received 1,500 states and 4 MB a second.
  it('spreads the followers over the owners that come after the first', async () => {
    instances[1].shares = [];
    await sleep(ROUNDS_MS);
    expect(instances[0].table.followers).to.have.lengthOf(5);
    instances[1].shares = [1];
    instances[2].shares = [2];
    await sleep(3 * ROUNDS_MS);
    const counts = instances.slice(0, 3).map(({ table }) => table.followers.length);
    expect(counts.reduce((sum, count) => sum + count, 0)).to.equal(3);
    expect(Math.max(...counts)).to.be.lessThan(3);
    expect(instances.map(({ othersLoadCount }) => othersLoadCount)).to.deep.equal([
      5, 5, 5, 5, 5, 5,
    ]);
  }).timeout(10_000);

  it('chooses another aggregator when the current one is gone', async () => {
    await sleep(ROUNDS_MS);
    instances[0].close();
    // Calls to the closed instance have to time out, and its last state expires after two seconds.
    await sleep(3_500);
    const rest = instances.slice(1);
    expect(rest.map(({ othersLoadCount }) => othersLoadCount)).to.deep.equal([4, 4, 4, 4, 4]);
  }).timeout(10_000);
});
