import { expect } from 'chai';
import {
  chooseEndpoint,
  chooseTarget,
  EndpointHealth,
  EventSplitter,
  RecentLoads,
  PrefillSpeed,
  RouteIndex,
  SharedRetryBudget,
  waitLimitMs,
  WaitQueue,
} from '@chervilseam/decisions';
import type { EndpointCandidate, Waiter } from '@chervilseam/decisions';
import type { RouteSpec } from '@chervilseam/model';

const route = (host: string, pathPrefix: string): RouteSpec => ({
  name: `${host}${pathPrefix}`,
  host,
  pathPrefix,
  isIdempotent: true,
  isStream: false,
  isResumable: false,
  timeoutMs: 1_000,
  objectiveMs: 100,
  paceMaxMs: 300,
  callerPatienceMs: 2_000,
  attemptCountMax: 2,
  priority: 0,
  targets: [
    { service: 'old', weight: 90 },
    { service: 'new', weight: 10 },
  ],
});

const endpoint = (id: string, overrides: Partial<EndpointCandidate> = {}): EndpointCandidate => ({
  id,
  outstandingCount: 0,
  slotCount: 10,
  isPaused: false,
  failureCount: 0,
  prefillMs: 0,
  latencyMs: 50,
  interEventMs: 30,
  isLocal: true,
  ...overrides,
});

describe('RouteIndex', () => {
  const routes = new RouteIndex({
    routes: [route('a.example', '/x/'), route('a.example', '/x/y/')],
  });

  it('matches the longest path prefix, ignoring case and port of the host', () => {
    expect(routes.match('A.example:80', '/x/y/z?q=/x/')?.pathPrefix).to.equal('/x/y/');
    expect(routes.match('a.example', '/x/z')?.pathPrefix).to.equal('/x/');
  });

  it('matches neither a part of a path segment nor another host', () => {
    expect(routes.match('a.example', '/xy/')).to.equal(undefined);
    expect(routes.match('b.example', '/x/')).to.equal(undefined);
  });
});

describe('chooseTarget', () => {
  it('chooses services in proportion to their weights', () => {
    const spec = route('a', '/');
    expect([0, 0.89, 0.91, 0.999].map((unit) => chooseTarget(spec, unit))).to.deep.equal([
      'old',
      'old',
      'new',
      'new',
    ]);
  });
});

describe('SharedRetryBudget', () => {
  const bounds = { ratio: 0.2, windowMs: 10_000, freeCount: 60 };

  it('keeps the retries of all instances together within the bound', () => {
    const budgets = Array.from({ length: 6 }, () => new SharedRetryBudget(bounds));
    const spent = budgets.map((budget) => {
      let count = 0;
      while (budget.spend(0, 6)) count += 1;
      return count;
    });
    expect(spent.reduce((sum, count) => sum + count, 0)).to.be.at.most(60);
    expect(Math.min(...spent)).to.be.greaterThan(0);
  });

  it('earns retries by requests and forgets requests older than the window', () => {
    const budget = new SharedRetryBudget({ ...bounds, freeCount: 0 });
    expect(budget.spend(0, 1)).to.equal(false);
    for (let at = 0; at < 10; at += 1) budget.earn(0);
    expect(budget.spend(1, 1)).to.equal(true);
    expect(budget.spend(2, 1)).to.equal(false);
    expect(budget.spend(12_000, 1)).to.equal(false);
  });
});

describe('chooseEndpoint with a loaded engine beside idle ones', () => {
  const chosen = (candidates: readonly EndpointCandidate[]): string | undefined =>
    chooseEndpoint(candidates, 0.5)?.id;

  it('prefers endpoints with less work and less time between tokens', () => {
    expect(chosen([endpoint('a', { outstandingCount: 8 }), endpoint('b')])).to.equal('b');
    expect(
      chosen([endpoint('a', { interEventMs: 300 }), endpoint('b', { outstandingCount: 4 })]),
    ).to.equal('b');
  });

  it('prefers endpoints without failures, and takes a paused one only as the last', () => {
    expect(chosen([endpoint('a', { failureCount: 1 }), endpoint('b')])).to.equal('b');
    expect(
      chosen([endpoint('a', { isPaused: true }), endpoint('b', { failureCount: 9 })]),
    ).to.equal('b');
    expect(chosen([endpoint('a', { isPaused: true })])).to.equal('a');
  });

  it('chooses at random among endpoints of equal cost', () => {
    const equal = [endpoint('a'), endpoint('b')];
    expect(chooseEndpoint(equal, 0.1)?.id).not.to.equal(chooseEndpoint(equal, 0.9)?.id);
  });
});

describe('EndpointHealth', () => {
  it('doubles the pause with each failure, counting concurrent failures once', () => {
    const health = new EndpointHealth();
    health.recordNoAnswer(0);
    health.recordNoAnswer(1);
    expect(health.isPaused(200)).to.equal(true);
    expect(health.isPaused(300)).to.equal(false);
    health.recordNoAnswer(300);
    expect(health.isPaused(700)).to.equal(true);
  });

  it('decays failures over time and clears an unreachable state on success', () => {
    const health = new EndpointHealth();
    health.recordFailure(0);
    expect(health.failureCount(0)).to.equal(1);
    expect(health.failureCount(10_000)).to.be.lessThan(0.05);
    health.recordConnectFailure(10_000);
    expect(health.isUnreachable(10_001)).to.equal(true);
    health.recordSuccess(40, 10_002);
    expect(health.isUnreachable(10_003)).to.equal(false);
  });
});

describe('EventSplitter', () => {
  it('returns complete events only, with their numbers', () => {
    const splitter = new EventSplitter();
    const first = splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
    expect(first.map(({ number }) => number)).to.deep.equal([1]);
    expect(splitter.pendingBytes).to.be.greaterThan(0);
    const second = splitter.push(Buffer.from('ta: b\n\n'));
    expect(second.map(({ data }) => data.toString())).to.deep.equal(['id: 2\ndata: b\n\n']);
    expect(splitter.pendingBytes).to.equal(0);
  });

  // All that had arrived of an event was copied and searched again for each chunk: an event without end in chunks of one byte
  // stopped the event loop for seconds.
  it('takes a time that grows with the length of an event that comes in chunks of one byte', () => {
    const durationMs = (bytes: number): number => {
      const splitter = new EventSplitter();
      const byte = Buffer.from('x');
      const startMs = performance.now();
      for (let index = 0; index < bytes; index += 1) splitter.push(byte);
      expect(splitter.pendingBytes).to.equal(bytes);
      return performance.now() - startMs;
    };
    const shortBytes = 16 * 1024;
    durationMs(shortBytes);
    // Quadratic work would take 256 times as long.
    expect(durationMs(16 * shortBytes) / durationMs(shortBytes)).to.be.lessThan(64);
  });

  it('counts the memory that an event in chunks of one byte takes', () => {
    const splitter = new EventSplitter();
    for (let index = 0; index < 50_000; index += 1) splitter.push(Buffer.from('x'));
    expect(splitter.heldBytes).to.be.within(50_000, 50_000 + 16 * 1024);
    splitter.push(Buffer.from('\n\n'));
    expect(splitter.heldBytes).to.equal(0);
  });

  it('finds the number when the id line is not the first', () => {
    const [event] = new EventSplitter().push(Buffer.from('versions: 2\nid: 7\ndata: a\n\n'));
    expect(event.number).to.equal(7);
  });
});

describe('WaitQueue', () => {
  const waiter = (priority: number, log: string[], name: string, isServed = false): Waiter => ({
    priority,
    group: 'a',
    lane: name,
    dueMs: 1_000,
    startMs: 0,
    workMs: 0,
    sinceMs: 0,
    untilMs: 100,
    tryDispatch: () => {
      log.push(`try ${name}`);
      return isServed;
    },
    onDropped: () => log.push(`drop ${name}`),
  });

  it('tries requests by priority, then by arrival, and drops them when their wait ends', () => {
    const log: string[] = [];
    const queue = new WaitQueue();
    queue.add(waiter(1, log, 'b'));
    queue.add(waiter(0, log, 'a', true));
    queue.add(waiter(1, log, 'c'));
    queue.dispatchWaiting(50);
    expect(log).to.deep.equal(['try a', 'try b', 'try c']);
    expect(queue.size).to.equal(2);
    queue.dispatchWaiting(100);
    expect(log.slice(3)).to.deep.equal(['try b', 'drop b', 'try c', 'drop c']);
  });

  it('drops all requests when it is cleared', () => {
    const log: string[] = [];
    const queue = new WaitQueue();
    queue.add(waiter(0, log, 'a'));
    queue.clear();
    expect(log).to.deep.equal(['drop a']);
    expect(queue.size).to.equal(0);
  });
});

describe('PrefillSpeed with many prompts arriving at once', () => {
  it('estimates how long the prompts ahead take', () => {
    const speed = new PrefillSpeed();
    const beforeMs = speed.prefillMs(5_000);
    for (let at = 0; at < 40; at += 1) speed.record(5_000, 400);
    expect(beforeMs).to.be.within(150, 300);
    expect(speed.prefillMs(5_000)).to.be.within(380, 400);
  });

  it('ignores short prompts, whose time is mostly not prefill', () => {
    const speed = new PrefillSpeed();
    const beforeMs = speed.prefillMs(5_000);
    speed.record(200, 100);
    expect(speed.prefillMs(5_000)).to.equal(beforeMs);
  });

  it('makes chooseEndpoint prefer the engine with fewer queued prompts', () => {
    const crowded = endpoint('crowded', { prefillMs: 200 });
    expect(chooseEndpoint([crowded, endpoint('idle')], 0)?.id).to.equal('idle');
  });
});

describe('RecentLoads with loads begun by several planners', () => {
  it('counts each load within the window once', () => {
    const loads = new RecentLoads(1_000);
    loads.record('a', 'm', 0);
    loads.record('a', 'm', 400);
    loads.record('b', 'm', 100);
    expect(loads.agesMs(900)).to.have.length(2);
    expect(loads.agesMs(1_100)).to.have.length(1);
    expect(loads.agesMs(1_400)).to.have.length(0);
  });

  it('tells how long ago each load began', () => {
    const loads = new RecentLoads(1_000);
    loads.record('a', 'm', 0);
    loads.record('b', 'm', 800);
    expect(loads.agesMs(900)).to.deep.equal([900, 100]);
  });

  it('keeps the later start when an older report of the same load arrives late', () => {
    const loads = new RecentLoads(1_000);
    loads.record('a', 'm', 500);
    loads.record('a', 'm', 100);
    expect(loads.agesMs(1_400)).to.have.length(1);
  });
});

describe('waitLimitMs with all slots taken or a model not loaded', () => {
  const request = {
    waitsFor: 'slot' as const,
    hasPartialAnswer: false,
    elapsedMs: 0,
    remainingMs: 12_000,
    objectiveMs: 300,
    callerPatienceMs: 2_400,
  };

  it('allows only a short wait for a slot', () => {
    expect(waitLimitMs(request)).to.be.within(30, 300 / 8);
    expect(waitLimitMs({ ...request, elapsedMs: 40 })).to.be.lessThan(0);
  });

  it('allows a wait for a model until the caller disconnects, not until the deadline', () => {
    const limitMs = waitLimitMs({ ...request, waitsFor: 'model' });
    expect(limitMs).to.be.within(1_200, 2_400);
    expect(waitLimitMs({ ...request, waitsFor: 'model', remainingMs: 1_000 })).to.be.lessThan(600);
  });

  it('allows a started stream to wait as long as it can still end before its deadline', () => {
    expect(waitLimitMs({ ...request, hasPartialAnswer: true, elapsedMs: 5_000 })).to.be.greaterThan(
      6_000,
    );
  });
});
