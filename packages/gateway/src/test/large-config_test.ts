import { setTimeout as sleep } from 'node:timers/promises';
import { PartLogger } from '@chervilseam/observe';
import type { RouteSpec, ServingConfig } from '@chervilseam/model';
import { expect } from 'chai';
import { packedConfig } from '../lib/feed/packed-config.js';
import { PeerSync } from '../lib/peer/peer-sync.js';
import { PeerTable } from '../lib/peer/peer-table.js';
import { instanceStateOf } from './instance-state-of.js';
import { SlowLink } from './slow-link.js';

const HOST = '127.0.0.1';
const OWNER_PORT = 23_730;
const LINK_PORT = 23_731;
const FOLLOWER_PORT = 23_732;
const ROUTE_COUNT = 3_000;
/** A configuration must be in force within this time after its acknowledgement, in milliseconds. */
const APPLY_BOUND_MS = 3_000;
/** Rate at which the packed configuration takes ten seconds and more, uncompressed. */
const LINK_BYTES_PER_SECOND = 60_000;

const routeOf = (index: number): RouteSpec => ({
  name: `r-${((index + 1) * 2_654_435_761).toString(36)}`,
  host: 'desk.example',
  pathPrefix: `/${((index + 7) * 40_503_000_123).toString(36)}/`,
  isIdempotent: true,
  isStream: false,
  isResumable: false,
  timeoutMs: 1_500,
  objectiveMs: 100,
  paceMaxMs: Infinity,
  callerPatienceMs: 1_500,
  attemptCountMax: 2,
  priority: 2,
  targets: [{ service: 'counter', weight: 1 }],
});

const config: ServingConfig = {
  version: 7,
  routes: Array.from({ length: ROUTE_COUNT }, (_, index) => routeOf(index)),
  services: new Map(),
  limits: { headerBytesMax: 1, bodyBytesMax: 2, headerTimeoutMs: 3, idleTimeoutMs: 4 },
};

const instanceOf = (name: string, port: number, shares: number[]): PeerSync => {
  const state = (): ReturnType<typeof instanceStateOf> =>
    instanceStateOf({ instance: name, host: HOST, port, shares });
  return new PeerSync({
    instance: name,
    failureDomain: 'a',
    secret: 'secret',
    table: new PeerTable(),
    logger: PartLogger.forInstance(name, 'fatal')('peer'),
    nowMs: () => performance.now(),
    isOwner: () => shares.length > 0,
    ownState: state,
    state,
    loadAdapter: () => Promise.resolve(false),
    beginMove: () => false,
    quotaCall: () => ({}),
    config: () => packedConfig.encode(config),
    list: {
      offset: undefined,
      ageMs: 0,
      isReadFailing: false,
      whole: undefined,
      since: () => undefined,
      applyUpdate: () => undefined,
    },
    onState: () => undefined,
    onNoOwner: () => undefined,
  });
};

// Each read from a peer was cut off after a fixed time and begun anew, and the state exchange on the same
// connection failed with it.
describe('A large configuration over a slow link', () => {
  let owner: PeerSync;
  let follower: PeerSync;
  let link: SlowLink;
  let timer: NodeJS.Timeout;

  beforeEach(async () => {
    owner = instanceOf('owner', OWNER_PORT, [1]);
    follower = instanceOf('follower', FOLLOWER_PORT, []);
    link = new SlowLink(OWNER_PORT, LINK_BYTES_PER_SECOND);
    await Promise.all([
      owner.listen({ host: HOST, port: OWNER_PORT }),
      follower.listen({ host: HOST, port: FOLLOWER_PORT }),
      link.listen(LINK_PORT),
    ]);
    follower.add({ host: HOST, port: LINK_PORT });
    timer = setInterval(() => follower.tick(), 20);
  });

  afterEach(() => {
    clearInterval(timer);
    owner.close();
    follower.close();
    link.close();
  });

  it('reaches a follower in time, and the state exchange goes on meanwhile', async () => {
    await sleep(1_000);
    expect(follower.isFollowing).to.equal(true);
    const startMs = performance.now();
    let unfollowedCount = 0;
    const check = setInterval(() => {
      if (!follower.isFollowing) unfollowedCount += 1;
    }, 20);
    const received = await follower.readConfig({ host: HOST, port: LINK_PORT });
    clearInterval(check);
    expect(received.routes).to.have.lengthOf(ROUTE_COUNT);
    expect(performance.now() - startMs).to.be.lessThan(APPLY_BOUND_MS);
    expect(unfollowedCount).to.equal(0);
  }).timeout(20_000);
});
