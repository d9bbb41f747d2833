import { PartLogger } from '@chervilseam/observe';
import { expect } from 'chai';
import { EndpointFeed } from '../lib/feed/endpoint-feed.js';
import { EndpointRegistry } from '../lib/feed/endpoint-registry.js';
import type { EndpointPage } from '../lib/ports/endpoint-page.js';
import type { StateStore } from '../lib/ports/state-store.js';
import { endpointRecordOf } from './endpoint-record-of.js';

type RelayedPage = EndpointPage & { readonly fromOffset?: number };

const ENDPOINT_COUNT = 100;

const logger = PartLogger.forInstance('self', 'fatal')('list');

describe('EndpointFeed: a read of the whole list', () => {
  let ids: string[];
  let isExpired: boolean;
  let offset: number;
  let relayed: RelayedPage[];

  // A store whose history expires: then it answers with the whole list instead of its changes.
  const store = {
    readEndpoints: (): Promise<EndpointPage> => {
      offset += 1;
      const changes = isExpired ? ids.map((id) => ({ id, record: endpointRecordOf(id) })) : [];
      return Promise.resolve({ isWhole: isExpired, changes, nextOffset: offset });
    },
  } as unknown as StateStore;

  const feedOf = (registry: EndpointRegistry): { feed: EndpointFeed; advance: () => void } => {
    const clock = { nowMs: 0 };
    const feed = new EndpointFeed({
      store,
      registry,
      logger,
      nowMs: () => clock.nowMs,
      leaveBoundMs: 3_000,
      rank: () => 0,
      relay: (page) => relayed.push(page),
      onTransitions: () => undefined,
    });
    const advance = (): void => {
      clock.nowMs += 10_000;
      feed.tick();
    };
    return { feed, advance };
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
  });

  // After the store's history had expired, the reader sent the whole list to every owner and follower at
  // once, which blocks a slow link, and with it the state exchange, for seconds.
  it('is forwarded as what it changes', async () => {
    const { advance } = feedOf(new EndpointRegistry());
    advance();
    await settle();
    ids = [...ids.slice(1), 'i-new'];
    advance();
    await settle();
    expect(relayed.map(({ isWhole }) => isWhole)).to.deep.equal([true, false]);
    const changes = relayed[1].changes.map(({ id, record }) => [id, record !== undefined]);
    expect(changes).to.have.deep.members([
      ['i-new', true],
      ['i-0', false],
    ]);
  });

  it('leaves every instance with the same endpoints', async () => {
    const own = new EndpointRegistry();
    const other = new EndpointRegistry();
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
    relayed.forEach((page) => otherFeed.applyPeerRead(page));
    const idsOf = (registry: EndpointRegistry): string[] => registry.all.map(({ id }) => id).sort();
    expect(idsOf(other)).to.deep.equal(idsOf(own));
    expect(idsOf(other)).to.deep.equal([...ids].sort());
    expect(other.offset).to.equal(own.offset);
  });

  it('is not taken from a change that begins after the own offset', async () => {
    const other = new EndpointRegistry();
    const { feed: otherFeed } = feedOf(other);
    const { advance } = feedOf(new EndpointRegistry());
    advance();
    await settle();
    otherFeed.applyPeerRead(relayed[0]);
    ids = ids.slice(1);
    advance();
    await settle();
    ids = ids.slice(1);
    advance();
    await settle();
    otherFeed.applyPeerRead(relayed[2]);
    expect(other.offset).to.equal(1);
  });
});
