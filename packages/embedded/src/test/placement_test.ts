import { EngineStandIn } from '@chervilseam/stand-ins';
import { expect } from 'chai';
import { Deployment } from '../index.js';

const GB = 1e9;

const modelToml = (name: string, version = '1'): string => `
[[model]]
name = "${name}"
version = "${version}"
labels = { tier = "resident" }
weightsBytes = 30_000_000_000
`;

const configToml = `
${modelToml('die')}
${modelToml('dough')}
[[adapter]]
name = "radiatori"
model = "die"
weightsBytes = 50_000_000
[[policy]]
name = "keep"
models = { equal = { tier = "resident" } }
resident = true
`;

const engine = {
  memoryBytes: 80 * GB,
  residents: {},
  tokenMs: 1,
  prefillMs: 1,
  loadMs: 50,
};

describe('placement on real daemons', () => {
  let deployment: Deployment;

  const start = async (checksFencing: boolean): Promise<void> => {
    deployment = await Deployment.start({
      instanceCount: 2,
      domainCount: 1,
      configToml,
      engines: [
        { name: 'engine-1', domain: 0, engine: { ...engine, checksFencing } },
        { name: 'engine-2', domain: 0, engine: { ...engine, checksFencing } },
      ],
    });
  };

  afterEach(() => deployment.stop());

  const sendChat = (model: string): Promise<Response> => {
    const messages = [{ role: 'user', content: 'hello' }];
    const instance = [...deployment.daemons.keys()][0];
    return deployment.call('/v1/chat/completions', { body: { model, messages }, instance });
  };

  const isServed = async (model: string): Promise<boolean> => {
    const response = await sendChat(model);
    await response.text();
    return response.status === 200;
  };

  /** Checks that no engine ever held more bytes than its memory. */
  const expectNoOvercommit = (): void => {
    deployment.engines.forEach(({ memory }) => {
      expect(memory.overcommitCount).to.equal(0);
      expect(memory.peakBytes).to.be.at.most(80 * GB);
    });
  };

  [true, false].forEach((checksFencing) => {
    const kind = checksFencing ? 'check fencing tokens' : 'ignore fencing tokens';

    it(`loads the models and adapters that a policy keeps resident, on engines that ${kind}`, async () => {
      await start(checksFencing);
      await deployment.waitFor('all models served', async () => {
        const served = await Promise.all(['die', 'dough', 'die:radiatori'].map(isServed));
        return served.every(Boolean);
      });
      expectNoOvercommit();
    });

    it(`loads all models after the owner died with orders in flight, on engines that ${kind}`, async () => {
      await start(checksFencing);
      deployment.engines.forEach((standIn) => Object.assign(standIn, { orderDelayMs: 300 }));
      await deployment.waitFor('a reservation for a load in the log', () =>
        deployment.log
          .peek('domain-domain-1')
          .some(({ value }) => (value as { action?: string }).action === 'load'),
      );
      deployment.killDaemon('instance-1');
      await deployment.waitFor('all models served', async () => {
        const served = await Promise.all(['die', 'dough'].map(isServed));
        return served.every(Boolean);
      });
      expectNoOvercommit();
    });
  });

  it('reloads the models of engines that restart empty at the same address', async () => {
    await start(true);
    await deployment.waitFor('model die served', () => isServed('die'));
    deployment.engines.forEach((old, name) => {
      const port = Number(new URL(old.url).port);
      old.kill();
      const fresh = new EngineStandIn(engine);
      deployment.engines.set(name, fresh);
      void fresh.listen(port);
    });
    await deployment.waitFor('both models served again', async () => {
      const served = await Promise.all(['die', 'dough'].map(isServed));
      return served.every(Boolean);
    });
    expectNoOvercommit();
  });

  it('replaces a version of a model without failing a request', async () => {
    await start(true);
    await deployment.waitFor('model die served', () => isServed('die'));
    await deployment.apply(modelToml('die', '2'));
    const failures: number[] = [];
    const residentItems = (): string[] =>
      [...deployment.engines.values()].flatMap(({ memory }) => [...memory.residents.keys()]);
    await deployment.waitFor('only the new version resident', async () => {
      const response = await sendChat('die');
      await response.text();
      if (response.status !== 200) failures.push(response.status);
      return residentItems().includes('model/die@2') && !residentItems().includes('model/die@1');
    });
    expect(failures).to.deep.equal([]);
    expectNoOvercommit();
  });

  it('loads all models although each engine loses an order', async () => {
    await start(false);
    deployment.engines.forEach((standIn) => Object.assign(standIn, { lostOrderCount: 1 }));
    await deployment.waitFor('all models served', async () => {
      const served = await Promise.all(['die', 'dough'].map(isServed));
      return served.every(Boolean);
    });
    expectNoOvercommit();
  });
});
