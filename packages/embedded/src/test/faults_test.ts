import { engineAnswer } from '@chervilseam/stand-ins';
import { expect } from 'chai';
import { Deployment } from '../index.js';

const RESIDENTS = { 'model/die-assistant@1': 16e9 };
const configToml = `
[[model]]
name = "die-assistant"
weightsBytes = 16_000_000_000
[[service]]
name = "order-desk"
[[policy]]
name = "orders-run-once"
services = { equal = {} }
nonIdempotent = true
`;

const engine = { residents: RESIDENTS, tokenMs: 5, prefillMs: 2 };

async function readTokens(response: Response): Promise<string[]> {
  const text = await response.text();
  return text
    .split('\n\n')
    .filter((event) => event.startsWith('data: {'))
    .map((event) => JSON.parse(event.slice('data: '.length)).choices[0].delta.content as string)
    .filter((content) => content !== undefined);
}

describe('faults under load on real daemons', () => {
  let deployment: Deployment;

  beforeEach(async () => {
    deployment = await Deployment.start({
      instanceCount: 3,
      domainCount: 3,
      configToml,
      engines: [
        { name: 'engine-1', domain: 0, engine },
        { name: 'engine-2', domain: 1, engine },
      ],
      services: [{ name: 'desk-1', domain: 2, service: 'order-desk' }],
    });
  });

  afterEach(() => deployment.stop());

  const stream = async (prompt: string, count: number, instance: string): Promise<void> => {
    const messages = [{ role: 'user', content: prompt }];
    const body = { model: 'die-assistant', messages, max_tokens: count, stream: true };
    const tokens = await readTokens(
      await deployment.call('/v1/chat/completions', { body, instance }),
    );
    expect(tokens).to.deep.equal(engineAnswer('die-assistant', JSON.stringify(messages), count));
  };

  const streamMany = (count: number, tokens: number): Promise<void[]> =>
    Promise.all(
      Array.from({ length: count }, (_, index) =>
        stream(`prompt ${index}`, tokens, `instance-${(index % 3) + 1}`),
      ),
    );

  const attempts = async (result: string): Promise<number> => {
    const texts = await Promise.all(
      [...deployment.daemons.values()].map(({ metrics }) => metrics.text()),
    );
    const pattern = new RegExp(`attempts_total\\{result="${result}"\\} (\\d+)`, 'g');
    return texts
      .flatMap((text) => [...text.matchAll(pattern)])
      .reduce((sum, m) => sum + Number(m[1]), 0);
  };

  const engineNamed = (name: string) => {
    const found = deployment.engines.get(name);
    if (!found) throw new Error(name);
    return found;
  };

  it('goes on elsewhere when an engine dies, with every answer whole', async () => {
    const reading = streamMany(9, 150);
    await deployment.waitFor('streams run', () => engineNamed('engine-1').runningCount >= 3);
    engineNamed('engine-1').kill();
    await reading;
  });

  it('moves streams away from a slowed engine, with every answer whole', async () => {
    const reading = streamMany(12, 300);
    await deployment.waitFor('streams run', () => engineNamed('engine-1').runningCount >= 4);
    await Deployment.sleep(400);
    engineNamed('engine-1').slowFactor = 12;
    await deployment.waitFor('streams moved', async () => (await attempts('moved')) >= 2);
    engineNamed('engine-1').slowFactor = 1;
    await reading;
  });

  it('reports a stream as cut when no engine can go on with it', async () => {
    const body = {
      model: 'die-assistant',
      messages: [{ role: 'user', content: 'x' }],
      max_tokens: 500,
      stream: true,
    };
    const response = await deployment.call('/v1/chat/completions', { body });
    deployment.engines.forEach((standIn) => standIn.kill());
    const failure = await response.text().catch((error: Error) => error);
    expect(failure).to.be.instanceOf(Error);
  });

  it('lets requests of other instances go on when the owner of their endpoint dies', async () => {
    const reading = Promise.all(
      Array.from({ length: 8 }, (_, index) =>
        stream(`prompt ${index}`, 150, index % 2 === 0 ? 'instance-2' : 'instance-3'),
      ),
    );
    await deployment.waitFor('streams run', () => engineNamed('engine-1').runningCount >= 2);
    deployment.killDaemon('instance-1');
    await reading;
    expect(await attempts('peer_lost')).to.be.greaterThan(0);
  });

  it('cuts nothing on SIGTERM, and repeats of it change nothing', async () => {
    const reading = streamMany(6, 200);
    const order = deployment.call('/services/order-desk/orders', {
      instance: 'instance-2',
      body: { reference: 'slow-order' },
      headers: { 'idempotency-key': 'slow-order' },
    });
    [...deployment.services.values()].forEach((service) =>
      Object.assign(service, { delayMs: 500 }),
    );
    await deployment.waitFor('streams run', () => engineNamed('engine-1').runningCount >= 2);
    const daemon = deployment.daemons.get('instance-2');
    const stopping = [daemon?.stop(), daemon?.stop()];
    await reading;
    expect((await order).status).to.equal(200);
    await Promise.all(stopping);
    deployment.daemons.delete('instance-2');
    await stream('after the stop', 20, 'instance-1');
  });

  it('gives a leaving endpoint no new work, once any instance knows', async () => {
    const answer = await fetch(`${deployment.operatorUrl('instance-3')}/drain`, {
      method: 'POST',
      headers: { authorization: `Bearer ${deployment.operatorKey}` },
      body: JSON.stringify({ endpoint: 'engine-1' }),
    });
    expect(answer.status).to.equal(200);
    await deployment.waitFor('all know', () =>
      [...deployment.daemons.values()].every((daemon) => daemon.isLeaving('engine-1')),
    );
    const before = engineNamed('engine-1').attempts.length;
    await streamMany(9, 5);
    expect(engineNamed('engine-1').attempts.length).to.equal(before);
  });

  it('learns of endpoints as it starts although most of the list is gone', async () => {
    await deployment.startDaemon('instance-4', 0);
    await deployment.waitUntilReady();
    ['instance-1', 'instance-2', 'instance-3'].forEach((name) => deployment.killDaemon(name));
    const daemon = await deployment.startDaemon('instance-5', 1);
    expect(daemon.knowsEndpoint('engine-1')).to.equal(true);
    expect(daemon.knowsEndpoint('engine-2')).to.equal(true);
  });

  it('replaces every instance in turn under load, and loses no idempotent request', async () => {
    let isOver = false;
    let count = 0;
    const failures: unknown[] = [];
    const load = async (): Promise<void> => {
      while (!isOver) {
        const names = [...deployment.daemons.keys()];
        const instance = names[count % names.length];
        count += 1;
        // eslint-disable-next-line no-await-in-loop -- callers send one request after another
        await stream(`rolling ${count}`, 20, instance).catch((error) => failures.push(error));
      }
    };
    const callers = [load(), load(), load()];
    const old = [...deployment.daemons.keys()];
    for (let index = 0; index < old.length; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- one instance after another
      await deployment.startDaemon(`instance-${index + 4}`, index);
      const leaving = deployment.daemons.get(old[index]);
      // The balancer sends nothing new to an instance that is no longer ready.
      deployment.daemons.delete(old[index]);
      // eslint-disable-next-line no-await-in-loop -- one instance after another
      await leaving?.stop();
    }
    isOver = true;
    await Promise.all(callers);
    expect(failures).to.deep.equal([]);
    expect(count).to.be.greaterThan(10);
  });
});
