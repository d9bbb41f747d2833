import { PartLogger } from '@chervilseam/observe';
import { expect } from 'chai';
import { EndpointFeed } from '../lib/feed/endpoint-feed.js';
import { EndpointRegistry } from '../lib/feed/endpoint-registry.js';
import { listTimesOf } from '../lib/feed/list-times.js';
import type { ListUpdate } from '../lib/feed/list-update.js';
import type { EndpointPage } from '../lib/ports/endpoint-page.js';
import type { StateStore } from '../lib/ports/state-store.js';
import { endpointRecordOf } from './endpoint-record-of.js';

const ENDPOINT_COUNT = 100;

const SUSPICION_MS = 1_240;

describe('EndpointFeed: a read of the whole list', () => {
  let ids: string[];
  let isExpired: boolean;
  let offset: number;
  let relayed: ListUpdate[];
  let outcomes: string[];
  let refusals: Readonly<Record<string, unknown>>[];

  // A store whose history expires: then it answers with the whole list instead of its changes.
  const store = {
    readEndpoints: (): Promise<EndpointPage> => {
      offset += 1;
      const changes = isExpired ? ids.map((id) => ({ id, record: endpointRecordOf(id) })) : [];
      return Promise.resolve({ isWhole: isExpired, changes, nextOffset: offset });
    },
  } as unknown as StateStore;

  const logger = PartLogger.forInstance('self', 'info', {
    write: (line: string) => {
      const record = JSON.parse(line) as Readonly<Record<string, unknown>>;
      if (record.event === 'update_refused') refusals.push(record);
      return true;
    },
  })('list');

  const feedOf = (registry: EndpointRegistry): { feed: EndpointFeed; advance: () => void } => {
    const clock = { nowMs: 0 };
    const feed = new EndpointFeed({
      store,
      registry,
      logger,
      nowMs: () => clock.nowMs,
      readPeriodMs: 690,
      rank: () => 0,
      relay: (previousOffset) => {
        const update = registry.since(previousOffset);
        if (update) relayed.push(update);
      },
      onUpdate: (outcome) => outcomes.push(outcome),
      onReplaced: () => undefined,
      onTransitions: () => undefined,
    });
    const advance = (): void => {
      clock.nowMs += 10_000;
      feed.tick();
    };
    return { feed, advance };
  };

  // An instance that has read the list itself when it started.
  const startedRegistry = (): EndpointRegistry => {
    const registry = new EndpointRegistry(SUSPICION_MS);
    const changes = ids.map((id) => ({ id, record: endpointRecordOf(id) }));
    registry.apply({ isWhole: true, changes, nextOffset: 1 }, 0, false);
    return registry;
  };

  const settle = (): Promise<void> =>
    new Promise((resolve) => {
      setImmediate(resolve);
    });

  beforeEach(() => {
    ids = Array.from({ length: ENDPOINT_COUNT }, (_, index) => `i-${index}`);
    isExpired = true;
    offset = 0;
    relayed = [];
    outcomes = [];
    refusals = [];
  });

  // After the store's history had expired, the reader sent the whole list to every owner and follower at
  // once, which blocks a slow link, and with it the state exchange, for seconds.
  it('is forwarded as what it changes', async () => {
    const { advance } = feedOf(new EndpointRegistry(SUSPICION_MS));
    advance();
    await settle();
    ids = [...ids.slice(1), 'i-new'];
    advance();
    await settle();
    expect(relayed.map(({ isWhole }) => isWhole)).to.deep.equal([false]);
    const changes = relayed[0].changes.map(({ id, record }) => [id, record !== undefined]);
    expect(changes).to.have.deep.members([
      ['i-new', true],
      ['i-0', false],
    ]);
  });

  it('leaves every instance with the same endpoints', async () => {
    const own = new EndpointRegistry(SUSPICION_MS);
    const other = startedRegistry();
    const { advance } = feedOf(own);
    const { feed: otherFeed } = feedOf(other);
    advance();
    await settle();
    ids = [...ids.slice(1), 'i-new'];
    advance();
    await settle();
    isExpired = false;
    advance();
    await settle();
    relayed.forEach((update) => otherFeed.applyUpdate(update, 'reader'));
    const idsOf = (registry: EndpointRegistry): string[] => registry.all.map(({ id }) => id).sort();
    expect(idsOf(other)).to.deep.equal(idsOf(own));
    expect(idsOf(other)).to.deep.equal([...ids].sort());
    expect(other.offset).to.equal(own.offset);
  });

  it('is not taken from a change that begins after the own offset', async () => {
    const other = startedRegistry();
    const { feed: otherFeed } = feedOf(other);
    const { advance } = feedOf(new EndpointRegistry(SUSPICION_MS));
    advance();
    await settle();
    ids = ids.slice(1);
    advance();
    await settle();
    ids = ids.slice(1);
    advance();
    await settle();
    otherFeed.applyUpdate(relayed[1], 'reader');
    expect(other.offset).to.equal(1);
  });

  // An instance that misses a change of the list writes nothing about that change.
  it('is counted, and a refused one is logged with where it begins and what is known', async () => {
    const { feed: otherFeed } = feedOf(startedRegistry());
    const { advance } = feedOf(new EndpointRegistry(SUSPICION_MS));
    for (let round = 0; round < 4; round += 1) {
      advance();
      // eslint-disable-next-line no-await-in-loop
      await settle();
    }
    [0, 2, 0, 1, 0].forEach((index) => otherFeed.applyUpdate(relayed[index], 'reader'));
    expect(outcomes).to.deep.equal(['applied', 'gap', 'current', 'applied', 'old']);
    expect(refusals).to.have.length(1);
    expect(refusals[0]).to.include({ from: 'reader', fromOffset: 3, nextOffset: 4, offset: 2 });
  });
});

// What an instance read after it had been cut off was replayed by the others over what they knew.
describe('EndpointRegistry: a read that is passed on', () => {
  const NOW_MS = 1_000;

  const registryWith = (ids: readonly string[], nextOffset: number): EndpointRegistry => {
    const registry = new EndpointRegistry(SUSPICION_MS);
    const changes = ids.map((id) => ({ id, record: endpointRecordOf(id) }));
    registry.apply({ isWhole: true, changes, nextOffset }, NOW_MS, false);
    return registry;
  };

  const idsOf = (registry: EndpointRegistry): string[] => registry.all.map(({ id }) => id);

  const passOn = (page: EndpointPage, reader: EndpointRegistry, other: EndpointRegistry): void => {
    const fromOffset = reader.offset;
    reader.apply(page, NOW_MS, true);
    [reader.since(fromOffset), reader.since(other.offset)].forEach((update) => {
      expect(update && other.outcomeOf(update)).not.to.equal('gap');
      if (update) other.apply(update, NOW_MS, true);
    });
  };

  const joined = { id: 'b', record: endpointRecordOf('b') };
  const left = { id: 'b' };

  it('does not bring back an endpoint that has joined and left in it', () => {
    const reader = registryWith(['a'], 10);
    const other = registryWith(['a'], 10);
    other.apply({ isWhole: false, changes: [joined], nextOffset: 15 }, NOW_MS, false);
    other.apply({ isWhole: false, changes: [left], nextOffset: 39 }, NOW_MS, false);
    passOn({ isWhole: false, changes: [joined, left], nextOffset: 39 }, reader, other);
    expect(idsOf(reader)).to.deep.equal(['a']);
    expect(idsOf(other)).to.deep.equal(['a']);
    passOn(
      { isWhole: false, changes: [joined, left], nextOffset: 45 },
      registryWith(['a'], 10),
      other,
    );
    expect(idsOf(other)).to.deep.equal(['a']);
  });

  // The entries of live endpoints had lapsed while the store was away. The reader knew them as they were, and passed on
  // neither that they had vanished nor that they were back.
  it('brings back an endpoint that has left and joined in it', () => {
    const reader = registryWith(['a', 'b'], 10);
    const other = registryWith(['a', 'b'], 10);
    other.apply({ isWhole: false, changes: [left], nextOffset: 15 }, NOW_MS, false);
    passOn({ isWhole: false, changes: [left, joined], nextOffset: 39 }, reader, other);
    other.expire(NOW_MS + 2 * SUSPICION_MS);
    reader.expire(NOW_MS + 2 * SUSPICION_MS);
    expect(idsOf(reader)).to.deep.equal(['a', 'b']);
    expect(idsOf(other)).to.deep.equal(['a', 'b']);
  });

  it('says that an endpoint was draining before its entry vanished', () => {
    const reader = registryWith(['a', 'b'], 10);
    const other = registryWith(['a', 'b'], 10);
    const draining = { id: 'b', record: { ...endpointRecordOf('b'), isDraining: true } };
    passOn({ isWhole: false, changes: [draining, left], nextOffset: 39 }, reader, other);
    expect(other.get('b')?.isLeaving).to.equal(true);
    expect(reader.get('b')?.isLeaving).to.equal(true);
  });
});

// An old update that arrived late was taken for a sign that the list had not changed, though another update had already shown
// that it had gone on.
describe('EndpointFeed: an instance that is told of changes but cannot take them', () => {
  const change = (fromOffset: number, nextOffset: number): ListUpdate => ({
    isWhole: false,
    changes: [],
    fromOffset,
    nextOffset,
    ageMs: 0,
  });

  it('reads the list soon, whatever else it is told', async () => {
    const clock = { nowMs: 0 };
    let readCount = 0;
    const feed = new EndpointFeed({
      store: {
        readEndpoints: () => {
          readCount += 1;
          return Promise.resolve({ isWhole: true, changes: [], nextOffset: 5 });
        },
      } as unknown as StateStore,
      registry: new EndpointRegistry(SUSPICION_MS),
      logger: PartLogger.forInstance('self', 'fatal')('list'),
      nowMs: () => clock.nowMs,
      readPeriodMs: 690,
      rank: () => Infinity,
      relay: () => undefined,
      onUpdate: () => undefined,
      onReplaced: () => undefined,
      onTransitions: () => undefined,
    });
    const tickAt = async (nowMs: number): Promise<void> => {
      clock.nowMs = nowMs;
      feed.tick();
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    };
    await tickAt(0);
    await tickAt(400);
    feed.applyUpdate(change(7, 9), 'reader');
    feed.applyUpdate(change(5, 5), 'late reader');
    feed.applyUpdate(change(5, 6), 'late reader');
    await tickAt(500);
    expect(readCount).to.equal(1);
    await tickAt(650);
    expect(readCount).to.equal(2);
  });
});

describe('The times of the list of endpoints', () => {
  // An entry that was removed just after a network partition stayed suspected for longer than the bound allows.
  [1_000, 2_000, 5_000].forEach((leaveBoundMs) => {
    it(`keep the bound of ${leaveBoundMs} ms within which an endpoint that leaves is avoided`, () => {
      const { readPeriodMs, suspicionMs } = listTimesOf(leaveBoundMs);
      expect(readPeriodMs + suspicionMs).to.be.lessThan(0.9 * leaveBoundMs);
      expect(suspicionMs).to.be.greaterThan(0.5 * Math.min(leaveBoundMs, 2_000));
    });
  });
});
