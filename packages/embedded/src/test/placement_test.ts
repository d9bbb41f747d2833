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

  const ask = (model: string): Promise<Response> => {
    const messages = [{ role: 'user', content: 'hello' }];
    const instance = [...deployment.daemons.keys()][0];
    return deployment.call('/v1/chat/completions', { body: { model, messages }, instance });
  };

  const isServed = async (model: string): Promise<boolean> => {
    const response = await ask(model);
    await response.text();
    return response.status === 200;
  };

  const expectNoOvercommit = (): void => {
    deployment.engines.forEach(({ memory }) => {
      expect(memory.overcommitCount).to.equal(0);
      expect(memory.peakBytes).to.be.at.most(80 * GB);
    });
  };

  [true, false].forEach((checksFencing) => {
    const kind = checksFencing ? 'refuse old numbers' : 'ignore numbers';

    it(`loads labelled models and adapters at engines that ${kind}`, async () => {
      await start(checksFencing);
      await deployment.waitFor('all models are served', async () => {
        const served = await Promise.all(['die', 'dough', 'die:radiatori'].map(isServed));
        return served.every(Boolean);
      });
      expectNoOvercommit();
    });

    it(`goes on after the owner died in the middle of orders, at engines that ${kind}`, async () => {
      await start(checksFencing);
      deployment.engines.forEach((standIn) => Object.assign(standIn, { orderDelayMs: 300 }));
      await deployment.waitFor('a load is reserved', () =>
        deployment.log
          .peek('domain-domain-1')
          .some(({ value }) => (value as { action?: string }).action === 'load'),
      );
      deployment.killDaemon('instance-1');
      await deployment.waitFor('all models are served', async () => {
        const served = await Promise.all(['die', 'dough'].map(isServed));
        return served.every(Boolean);
      });
      expectNoOvercommit();
    });
  });

  it('loads again what an engine lost that restarted empty under its address', async () => {
    await start(true);
    await deployment.waitFor('served', () => isServed('die'));
    deployment.engines.forEach((old, name) => {
      const port = Number(new URL(old.url).port);
      old.kill();
      const fresh = new EngineStandIn(engine);
      deployment.engines.set(name, fresh);
      void fresh.listen(port);
    });
    await deployment.waitFor('served again', async () => {
      const served = await Promise.all(['die', 'dough'].map(isServed));
      return served.every(Boolean);
    });
    expectNoOvercommit();
  });

  it('rolls a version without a gap', async () => {
    await start(true);
    await deployment.waitFor('served', () => isServed('die'));
    await deployment.apply(modelToml('die', '2'));
    const failures: number[] = [];
    const items = (): string[] =>
      [...deployment.engines.values()].flatMap(({ memory }) => [...memory.residents.keys()]);
    await deployment.waitFor('only the new version is there', async () => {
      const response = await ask('die');
      await response.text();
      if (response.status !== 200) failures.push(response.status);
      return items().includes('model/die@2') && !items().includes('model/die@1');
    });
    expect(failures).to.deep.equal([]);
    expectNoOvercommit();
  });

  it('survives lost orders', async () => {
    await start(false);
    deployment.engines.forEach((standIn) => Object.assign(standIn, { lostOrderCount: 1 }));
    await deployment.waitFor('all models are served', async () => {
      const served = await Promise.all(['die', 'dough'].map(isServed));
      return served.every(Boolean);
    });
    expectNoOvercommit();
  });
});
