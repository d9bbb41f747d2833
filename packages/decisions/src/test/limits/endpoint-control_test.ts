import { expect } from 'chai';
import { EndpointControl } from '../../lib/limits/endpoint-control.js';
import { RetryBudget } from '../../lib/limits/retry-budget.js';
import { Random } from '../../lib/random.js';
import { RouteTable } from '../../lib/routing/route-table.js';

const WINDOW_MS = 50;

const createControl = (): EndpointControl =>
  new EndpointControl({ concurrencyMax: 32, tokenTargetMs: 37 });

const observeWindows = (control: EndpointControl, count: number, tokenMs: number): void => {
  for (let turn = 0; turn < count; turn += 1) {
    control.onWindow(8, (8 * WINDOW_MS) / tokenMs, WINDOW_MS);
  }
};

const offerRequests = (control: EndpointControl, count: number): void => {
  for (let index = 0; index < count; index += 1) {
    const common = { caller: 'c', share: 1, priority: 50, startByMs: 1e6 };
    control.offer({ id: `t${index}`, ...common }, 0);
  }
};

describe('EndpointControl', () => {
  it('detects within three windows that an endpoint is slowed, and that it has recovered', () => {
    const control = createControl();
    offerRequests(control, 8);
    observeWindows(control, 20, 25);
    expect(control.load.isSlowed).to.equal(false);
    observeWindows(control, 3, 200);
    expect(control.load.isSlowed).to.equal(true);
    expect(control.moveCount).to.equal(3);
    observeWindows(control, 3, 25);
    expect(control.load.isSlowed).to.equal(false);
  });

  it('does not report an endpoint as slowed after a single slow window', () => {
    const control = createControl();
    offerRequests(control, 8);
    observeWindows(control, 20, 25);
    observeWindows(control, 1, 200);
    observeWindows(control, 1, 25);
    expect(control.load.isSlowed).to.equal(false);
  });

  it('computes the reduced limit from the running requests, only once for the same load', () => {
    const control = createControl();
    offerRequests(control, 16);
    observeWindows(control, 10, 40);
    expect(control.queue.limit).to.be.within(14, 15);
  });
});

describe('RouteTable', () => {
  const load = {
    runningCount: 0,
    waitingCount: 0,
    limit: 10,
    serviceMs: 1_000,
    firstTokenMs: 100,
    tokenMs: 25,
    isSlowed: false,
  };
  const candidates = ['a', 'b'].map((endpoint) => ({ endpoint, isLocal: true }));

  it('avoids a slowed endpoint at first, at a cost that decreases with the age of the report', () => {
    const routes = new RouteTable(new Random(1));
    routes.update('a', { ...load, isSlowed: true }, 0);
    routes.update('b', load, 0);
    expect(routes.choose(candidates, 10)?.endpoint).to.equal('b');
    expect(routes.costMs(candidates[0], 2_000)).to.be.below(routes.costMs(candidates[0], 10));
  });

  it('distributes requests evenly until the next report', () => {
    const routes = new RouteTable(new Random(2));
    candidates.forEach(({ endpoint }) => routes.update(endpoint, load, 0));
    const chosen = Array.from({ length: 40 }, () => routes.choose(candidates, 1)?.endpoint);
    const chosenCount = chosen.filter((endpoint) => endpoint === 'a').length;
    expect(chosenCount).to.be.within(15, 25);
  });

  // Guards against avoiding an endpoint for ever: it gets no requests and hence reports no new
  // load, so the cost of its last load has to decrease even if that load has no service time.
  it('lets the cost of an endpoint drop to 0 whose only report came while a request ran', () => {
    const routes = new RouteTable(new Random(3));
    routes.update('a', { ...load, runningCount: 1, serviceMs: 0, firstTokenMs: 400 }, 0);
    routes.update('b', load, 0);
    expect(routes.costMs(candidates[0], 6_000)).to.equal(0);
  });
});

describe('RetryBudget', () => {
  it('limits retries to a fraction of the traffic once the initial budget is spent', () => {
    const budget = new RetryBudget();
    const spent = Array.from({ length: 1_000 }, () => {
      budget.earn();
      return budget.spend();
    }).filter(Boolean).length;
    expect(spent).to.be.within(200, 225);
  });
});
