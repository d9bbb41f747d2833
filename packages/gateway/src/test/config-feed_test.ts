import { setTimeout as sleep } from 'node:timers/promises';
import { Random } from '@chervilseam/decisions';
import type { ServingConfig } from '@chervilseam/model';
import { PartLogger } from '@chervilseam/observe';
import { expect } from 'chai';
import { ConfigFeed } from '../lib/feed/config-feed.js';
import type { ConfigPage } from '../lib/ports/config-page.js';
import type { StateStore } from '../lib/ports/state-store.js';

const FOLLOWER_COUNT = 40;
const OWNER_COUNT = 8;
/** Time without disturbances after which the bounds hold again, in milliseconds. */
const STABLE_MS = 4_000;

const configOf = (version: number): ServingConfig =>
  ({ version, routes: [], services: new Map(), limits: {} }) as unknown as ServingConfig;

/** Time after which a call without any answer fails, in milliseconds. */
const SILENCE_MS = 1_000;

/** A store with one configuration at a time, whose long polls go silent: they fail after their wait. */
class SilentStore {
  version = 1;
  isDown = false;

  async readConfig(fromOffset: number | undefined, waitMs: number): Promise<ConfigPage> {
    await sleep(5);
    if (this.isDown) throw new Error('store is down');
    if (fromOffset === this.version) {
      await sleep(waitMs + SILENCE_MS, undefined, { ref: false });
      throw new Error('no byte of the answer');
    }
    return { nextOffset: this.version, config: configOf(this.version) };
  }
}

interface Setting {
  readonly isInformed: boolean;
  readonly readPeer: (address: string) => Promise<ServingConfig>;
}

const logger = PartLogger.forInstance('self', 'fatal')('config');

describe('ConfigFeed: a newer version that other instances report', () => {
  const random = new Random(7);
  let store: SilentStore;
  let feeds: ConfigFeed[];

  const feedOf = ({ isInformed, readPeer }: Setting): ConfigFeed => {
    const feed = new ConfigFeed({
      store: store as unknown as StateStore,
      logger,
      nowMs: () => performance.now(),
      randomUnit: () => random.unit(),
      isInformed: () => isInformed,
      rank: () => 0,
      readPeer,
      onRead: () => undefined,
      onChange: () => undefined,
    });
    feeds.push(feed);
    feed.start();
    return feed;
  };

  /** A feed that counts its reads from other instances, all of which deliver the same version. */
  const countingFeed = (
    isInformed: boolean,
    version: number,
  ): { readonly feed: ConfigFeed; readonly counts: { read: number } } => {
    const counts = { read: 0 };
    const readPeer = (): Promise<ServingConfig> => {
      counts.read += 1;
      return Promise.resolve(configOf(version));
    };
    return { feed: feedOf({ isInformed, readPeer }), counts };
  };

  const report = (feed: ConfigFeed, version: number, owners = OWNER_COUNT): void => {
    Array.from({ length: owners }, (_, owner) => `owner:${owner}`).forEach((address) =>
      feed.onPeerVersion({ version, address, isLocal: true }),
    );
  };

  beforeEach(() => {
    store = new SilentStore();
    feeds = [];
  });

  afterEach(() => feeds.forEach((feed) => feed.stop()));

  // All followers that learned of a version from the same overview read it from its first owner.
  it('is read from all owners that report it, and not from the first by everyone', async () => {
    const reads = new Map<string, number>();
    const followers = Array.from({ length: FOLLOWER_COUNT }, () =>
      feedOf({
        isInformed: true,
        readPeer: async (address) => {
          reads.set(address, (reads.get(address) ?? 0) + 1);
          await sleep(20);
          return configOf(2);
        },
      }),
    );
    await sleep(50);
    followers.forEach((feed) => report(feed, 2));
    await sleep(100);
    expect(followers.map(({ version }) => version)).to.deep.equal(followers.map(() => 2));
    expect(Math.max(...reads.values())).to.be.lessThan((3 * FOLLOWER_COUNT) / OWNER_COUNT);
  });

  // A follower read again and again from an owner that did not deliver, and never from the store.
  it('is read from the store when no owner delivers it', async () => {
    const feed = feedOf({
      isInformed: true,
      readPeer: () => Promise.reject(new Error('timed out')),
    });
    await sleep(50);
    store.version = 2;
    report(feed, 2);
    await sleep(1_000);
    expect(feed.version).to.equal(2);
  });

  it('is read from another owner after one has failed', async () => {
    const asked: string[] = [];
    const feed = feedOf({
      isInformed: true,
      readPeer: async (address) => {
        asked.push(address);
        if (asked.length < 3) throw new Error('timed out');
        return Promise.resolve(configOf(2));
      },
    });
    await sleep(50);
    report(feed, 2);
    await sleep(400);
    expect(feed.version).to.equal(2);
    expect(new Set(asked).size).to.equal(asked.length);
  });

  it('is read from other instances only if the store does not deliver it soon', async () => {
    const { feed, counts } = countingFeed(false, 2);
    await sleep(50);
    report(feed, 2);
    await sleep(100);
    expect(counts.read).to.equal(0);
    // The long poll of this store never returns, as over a connection that went silent.
    await sleep(250);
    report(feed, 2);
    await sleep(50);
    expect(feed.version).to.equal(2);
  });

  it('is read from others at once while the store cannot be read', async () => {
    store.isDown = true;
    const feed = feedOf({ isInformed: false, readPeer: () => Promise.resolve(configOf(2)) });
    await sleep(50);
    report(feed, 2);
    await sleep(50);
    expect(feed.version).to.equal(2);
  });

  // Connections may go silent for good without an error, at all instances at once: then no long poll
  // notices a change, and no instance has a version to report.
  it('is found although every long poll went silent', async () => {
    const readPeer = (): Promise<ServingConfig> => Promise.reject(new Error('unused'));
    const feed = feedOf({ isInformed: false, readPeer });
    await sleep(100);
    store.version = 2;
    await sleep(STABLE_MS);
    expect(feed.version).to.equal(2);
  }).timeout(10_000);

  // An instance may have restarted with an older version than the one it reported before.
  it('is not read again at once from an owner that delivers an older one', async () => {
    const { feed, counts } = countingFeed(true, 1);
    await sleep(50);
    report(feed, 2, 1);
    await sleep(300);
    expect(feed.version).to.equal(1);
    expect(counts.read).to.be.lessThan(5);
  });

  it('never replaces a newer version by an older one', async () => {
    const feed = feedOf({ isInformed: true, readPeer: () => Promise.resolve(configOf(3)) });
    await sleep(50);
    report(feed, 3);
    await sleep(50);
    report(feed, 2);
    await sleep(700);
    expect(feed.version).to.equal(3);
  });
});
