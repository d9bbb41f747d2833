import { expect } from 'chai';
import { EndpointControl } from '../../lib/limits/endpoint-control.js';
import { RetryBudget } from '../../lib/limits/retry-budget.js';
import { Random } from '../../lib/random.js';
import { RouteTable } from '../../lib/routing/route-table.js';

const WINDOW_MS = 50;

const createControl = (): EndpointControl =>
  new EndpointControl({ concurrencyMax: 32, tokenTargetMs: 37 });

const windows = (control: EndpointControl, count: number, tokenMs: number): void => {
  for (let turn = 0; turn < count; turn += 1) {
    control.onWindow(8, (8 * WINDOW_MS) / tokenMs, WINDOW_MS);
  }
};

const fill = (control: EndpointControl, count: number): void => {
  for (let index = 0; index < count; index += 1) {
    const common = { caller: 'c', share: 1, priority: 50, startByMs: 1e6 };
    control.offer({ id: `t${index}`, ...common }, 0);
  }
};

describe('EndpointControl', () => {
  it('finds an endpoint slowed within three windows, and well again', () => {
    const control = createControl();
    fill(control, 8);
    windows(control, 20, 25);
    expect(control.load.isSlowed).to.equal(false);
    windows(control, 3, 200);
    expect(control.load.isSlowed).to.equal(true);
    expect(control.moveCount).to.equal(3);
    windows(control, 3, 25);
    expect(control.load.isSlowed).to.equal(false);
  });

  it('takes one slow window for no sign', () => {
    const control = createControl();
    fill(control, 8);
    windows(control, 20, 25);
    windows(control, 1, 200);
    windows(control, 1, 25);
    expect(control.load.isSlowed).to.equal(false);
  });

  it('cuts the limit from what runs, once for the same load', () => {
    const control = createControl();
    fill(control, 16);
    windows(control, 10, 40);
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

  it('avoids a slowed endpoint, and tries it again later', () => {
    const routes = new RouteTable(new Random(1));
    routes.update('a', { ...load, isSlowed: true }, 0);
    routes.update('b', load, 0);
    expect(routes.choose(candidates, 10)?.endpoint).to.equal('b');
    expect(routes.costMs(candidates[0], 2_000)).to.be.below(routes.costMs(candidates[0], 10));
  });

  it('spreads requests that come before any new word', () => {
    const routes = new RouteTable(new Random(2));
    candidates.forEach(({ endpoint }) => routes.update(endpoint, load, 0));
    const chosen = Array.from({ length: 40 }, () => routes.choose(candidates, 1)?.endpoint);
    const share = chosen.filter((endpoint) => endpoint === 'a').length;
    expect(share).to.be.within(15, 25);
  });

  it('hears of an endpoint again whose first word came while its request ran', () => {
    const routes = new RouteTable(new Random(3));
    routes.update('a', { ...load, runningCount: 1, serviceMs: 0, firstTokenMs: 400 }, 0);
    routes.update('b', load, 0);
    expect(routes.costMs(candidates[0], 6_000)).to.equal(0);
  });
});

describe('RetryBudget', () => {
  it('keeps retries to a share of the traffic once what was saved is spent', () => {
    const budget = new RetryBudget();
    const spent = Array.from({ length: 1_000 }, () => {
      budget.earn();
      return budget.spend();
    }).filter(Boolean).length;
    expect(spent).to.be.within(200, 225);
  });
});
