import { expect } from 'chai';
import {
  chooseEndpoint,
  chooseTarget,
  EndpointHealth,
  EventSplitter,
  LoadLedger,
  ReadSpeed,
  RouteIndex,
  SharedRetryBudget,
  waitLimitMs,
  WaitingLine,
} from '@chervilseam/decisions';
import type { EndpointChoice, Waiter } from '@chervilseam/decisions';
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

const endpoint = (id: string, more: Partial<EndpointChoice> = {}): EndpointChoice => ({
  id,
  outstandingCount: 0,
  slotCount: 10,
  isPaused: false,
  failureCount: 0,
  readMs: 0,
  latencyMs: 50,
  paceMs: 30,
  isLocal: true,
  ...more,
});

describe('RouteIndex', () => {
  const index = new RouteIndex({
    routes: [route('a.example', '/x/'), route('a.example', '/x/y/')],
  });

  it('takes the longest prefix of the host, whatever its case and port', () => {
    expect(index.match('A.example:80', '/x/y/z?q=/x/')?.pathPrefix).to.equal('/x/y/');
    expect(index.match('a.example', '/x/z')?.pathPrefix).to.equal('/x/');
  });

  it('matches no part of a path segment and no other host', () => {
    expect(index.match('a.example', '/xy/')).to.equal(undefined);
    expect(index.match('b.example', '/x/')).to.equal(undefined);
  });
});

describe('chooseTarget', () => {
  it('spreads requests by weight', () => {
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

  it('keeps all instances together within the bound, whoever repeats', () => {
    const budgets = Array.from({ length: 6 }, () => new SharedRetryBudget(bounds));
    const spent = budgets.map((budget) => {
      let count = 0;
      while (budget.spend(0, 6)) count += 1;
      return count;
    });
    expect(spent.reduce((sum, count) => sum + count, 0)).to.be.at.most(60);
    expect(Math.min(...spent)).to.be.greaterThan(0);
  });

  it('earns with requests and gives back what is older than the window', () => {
    const budget = new SharedRetryBudget({ ...bounds, freeCount: 0 });
    expect(budget.spend(0, 1)).to.equal(false);
    for (let at = 0; at < 10; at += 1) budget.earn(0);
    expect(budget.spend(1, 1)).to.equal(true);
    expect(budget.spend(2, 1)).to.equal(false);
    expect(budget.spend(12_000, 1)).to.equal(false);
  });
});

describe('A crowded engine beside free ones (chooseEndpoint)', () => {
  const chosen = (choices: readonly EndpointChoice[]): string | undefined =>
    chooseEndpoint(choices, 0.5)?.id;

  it('goes where work is least and tokens come fast', () => {
    expect(chosen([endpoint('a', { outstandingCount: 8 }), endpoint('b')])).to.equal('b');
    expect(
      chosen([endpoint('a', { paceMs: 300 }), endpoint('b', { outstandingCount: 4 })]),
    ).to.equal('b');
  });

  it('leaves failing and silent endpoints to the last', () => {
    expect(chosen([endpoint('a', { failureCount: 1 }), endpoint('b')])).to.equal('b');
    expect(
      chosen([endpoint('a', { isPaused: true }), endpoint('b', { failureCount: 9 })]),
    ).to.equal('b');
    expect(chosen([endpoint('a', { isPaused: true })])).to.equal('a');
  });

  it('spreads equal choices', () => {
    const equal = [endpoint('a'), endpoint('b')];
    expect(chooseEndpoint(equal, 0.1)?.id).not.to.equal(chooseEndpoint(equal, 0.9)?.id);
  });
});

describe('EndpointHealth', () => {
  it('pauses a silent endpoint longer each time, and once for what fails together', () => {
    const health = new EndpointHealth();
    health.wasSilent(0);
    health.wasSilent(1);
    expect(health.isPaused(200)).to.equal(true);
    expect(health.isPaused(300)).to.equal(false);
    health.wasSilent(300);
    expect(health.isPaused(700)).to.equal(true);
  });

  it('forgets failures with time and forgives with success', () => {
    const health = new EndpointHealth();
    health.failed(0);
    expect(health.failureCount(0)).to.equal(1);
    expect(health.failureCount(10_000)).to.be.lessThan(0.05);
    health.wasUnreachable(10_000);
    expect(health.isUnreachable(10_001)).to.equal(true);
    health.succeeded(40, 10_002);
    expect(health.isUnreachable(10_003)).to.equal(false);
  });
});

describe('EventSplitter', () => {
  it('gives whole events only, with their numbers', () => {
    const splitter = new EventSplitter();
    const first = splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
    expect(first.map(({ number }) => number)).to.deep.equal([1]);
    expect(splitter.pendingBytes).to.be.greaterThan(0);
    const second = splitter.push(Buffer.from('ta: b\n\n'));
    expect(second.map(({ data }) => data.toString())).to.deep.equal(['id: 2\ndata: b\n\n']);
    expect(splitter.pendingBytes).to.equal(0);
  });

  it('finds the number behind another first line', () => {
    const [event] = new EventSplitter().push(Buffer.from('versions: 2\nid: 7\ndata: a\n\n'));
    expect(event.number).to.equal(7);
  });
});

describe('WaitingLine', () => {
  const waiter = (priority: number, log: string[], name: string, isServed = false): Waiter => ({
    priority,
    untilMs: 100,
    tryNow: () => {
      log.push(`try ${name}`);
      return isServed;
    },
    giveUp: () => log.push(`give up ${name}`),
  });

  it('offers places by rank, then by arrival, and lets go in time', () => {
    const log: string[] = [];
    const line = new WaitingLine();
    line.add(waiter(1, log, 'b'));
    line.add(waiter(0, log, 'a', true));
    line.add(waiter(1, log, 'c'));
    line.pump(50);
    expect(log).to.deep.equal(['try a', 'try b', 'try c']);
    expect(line.size).to.equal(2);
    line.pump(100);
    expect(log.slice(3)).to.deep.equal(['try b', 'give up b', 'try c', 'give up c']);
  });

  it('lets go of all when nothing will become free', () => {
    const log: string[] = [];
    const line = new WaitingLine();
    line.add(waiter(0, log, 'a'));
    line.clear();
    expect(log).to.deep.equal(['give up a']);
    expect(line.size).to.equal(0);
  });
});

describe('A crowd of prompts that arrive at once (ReadSpeed)', () => {
  it('learns how long the prompts ahead take', () => {
    const speed = new ReadSpeed();
    const beforeMs = speed.timeMs(5_000);
    for (let at = 0; at < 40; at += 1) speed.took(5_000, 400);
    expect(beforeMs).to.be.within(150, 300);
    expect(speed.timeMs(5_000)).to.be.within(380, 400);
  });

  it('learns nothing from a short prompt, whose time is mostly not reading', () => {
    const speed = new ReadSpeed();
    const beforeMs = speed.timeMs(5_000);
    speed.took(200, 100);
    expect(speed.timeMs(5_000)).to.equal(beforeMs);
  });

  it('sends the request where fewer prompts wait', () => {
    const crowded = endpoint('crowded', { readMs: 200 });
    expect(chooseEndpoint([crowded, endpoint('idle')], 0)?.id).to.equal('idle');
  });
});

describe('Loads that several planners begin one after the other (LoadLedger)', () => {
  it('counts loads of a window, whoever began them, and each only once', () => {
    const ledger = new LoadLedger(1_000);
    ledger.note('a', 'm', 0);
    ledger.note('a', 'm', 400);
    ledger.note('b', 'm', 100);
    expect(ledger.count(900)).to.equal(2);
    expect(ledger.count(1_100)).to.equal(1);
    expect(ledger.count(1_400)).to.equal(0);
  });

  it('tells how many run at a time', () => {
    const ledger = new LoadLedger(1_000);
    ledger.note('a', 'm', 0);
    ledger.note('b', 'm', 800);
    expect(ledger.count(900, 200)).to.equal(1);
  });

  it('does not move a load back when an older word of it arrives late', () => {
    const ledger = new LoadLedger(1_000);
    ledger.note('a', 'm', 500);
    ledger.note('a', 'm', 100);
    expect(ledger.count(1_400)).to.equal(1);
  });
});

describe('More callers than places, and models that are nowhere (waitLimitMs)', () => {
  const request = {
    isForPlace: true,
    isAnswering: false,
    sinceMs: 0,
    leftMs: 12_000,
    objectiveMs: 300,
    callerPatienceMs: 2_400,
  };

  it('refuses soon after the first look when no place is free', () => {
    expect(waitLimitMs(request)).to.be.within(30, 300 / 8);
    expect(waitLimitMs({ ...request, sinceMs: 40 })).to.be.lessThan(0);
  });

  it('waits for a model while the caller still listens, not until the deadline', () => {
    const limitMs = waitLimitMs({ ...request, isForPlace: false });
    expect(limitMs).to.be.within(1_200, 2_400);
    expect(waitLimitMs({ ...request, isForPlace: false, leftMs: 1_000 })).to.be.lessThan(600);
  });

  it('keeps a stream that has begun as long as it can still end in time', () => {
    expect(waitLimitMs({ ...request, isAnswering: true, sinceMs: 5_000 })).to.be.greaterThan(6_000);
  });
});
