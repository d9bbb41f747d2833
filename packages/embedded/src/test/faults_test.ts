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

/** Reads a stream of chat completion events to its end and returns the tokens in it. */
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

  /** Reads a streamed completion and checks that every token arrived, once and in order. */
  const expectStream = async (
    prompt: string,
    tokenCount: number,
    instance: string,
  ): Promise<void> => {
    const messages = [{ role: 'user', content: prompt }];
    const body = { model: 'die-assistant', messages, max_tokens: tokenCount, stream: true };
    const tokens = await readTokens(
      await deployment.call('/v1/chat/completions', { body, instance }),
    );
    expect(tokens).to.deep.equal(
      engineAnswer('die-assistant', JSON.stringify(messages), tokenCount),
    );
  };

  const expectStreams = (count: number, tokenCount: number): Promise<void[]> =>
    Promise.all(
      Array.from({ length: count }, (_, index) =>
        expectStream(`prompt ${index}`, tokenCount, `instance-${(index % 3) + 1}`),
      ),
    );

  /** Sums, over all daemons, the attempts that ended with a result. */
  const countAttempts = async (result: string): Promise<number> => {
    const texts = await Promise.all(
      [...deployment.daemons.values()].map(({ metrics }) => metrics.text()),
    );
    const samples = new RegExp(`attempts_total\\{result="${result}"\\} (\\d+)`, 'g');
    return texts
      .flatMap((text) => [...text.matchAll(samples)])
      .reduce((sum, match) => sum + Number(match[1]), 0);
  };

  const engineNamed = (name: string) => {
    const found = deployment.engines.get(name);
    if (!found) throw new Error(name);
    return found;
  };

  it('goes on elsewhere when an engine dies, with every answer whole', async () => {
    const streams = expectStreams(9, 150);
    await deployment.waitFor(
      'streams in progress at engine-1',
      () => engineNamed('engine-1').runningCount >= 3,
    );
    engineNamed('engine-1').kill();
    await streams;
  });

  it('moves streams off a slow engine without losing or repeating a token', async () => {
    const streams = expectStreams(12, 300);
    await deployment.waitFor(
      'streams in progress at engine-1',
      () => engineNamed('engine-1').runningCount >= 4,
    );
    await Deployment.sleep(400);
    engineNamed('engine-1').slowFactor = 12;
    await deployment.waitFor(
      'two streams moved to another engine',
      async () => (await countAttempts('moved')) >= 2,
    );
    engineNamed('engine-1').slowFactor = 1;
    await streams;
  });

  it('breaks the connection of a stream when no engine is left to continue it', async () => {
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

  it('completes the streams of other instances when the owner of their endpoint dies', async () => {
    const streams = Promise.all(
      Array.from({ length: 8 }, (_, index) =>
        expectStream(`prompt ${index}`, 150, index % 2 === 0 ? 'instance-2' : 'instance-3'),
      ),
    );
    await deployment.waitFor(
      'streams in progress at engine-1',
      () => engineNamed('engine-1').runningCount >= 2,
    );
    deployment.killDaemon('instance-1');
    await streams;
    expect(await countAttempts('peer_lost')).to.be.greaterThan(0);
  });

  it('completes all requests in flight when it is stopped, also when stopped twice', async () => {
    const streams = expectStreams(6, 200);
    const order = deployment.call('/services/order-desk/orders', {
      instance: 'instance-2',
      body: { reference: 'slow-order' },
      headers: { 'idempotency-key': 'slow-order' },
    });
    [...deployment.services.values()].forEach((service) =>
      Object.assign(service, { delayMs: 500 }),
    );
    await deployment.waitFor(
      'streams in progress at engine-1',
      () => engineNamed('engine-1').runningCount >= 2,
    );
    const daemon = deployment.daemons.get('instance-2');
    const stops = [daemon?.stop(), daemon?.stop()];
    await streams;
    expect((await order).status).to.equal(200);
    await Promise.all(stops);
    deployment.daemons.delete('instance-2');
    await expectStream('after the stop', 20, 'instance-1');
  });

  it('sends no new requests to a draining endpoint once every instance knows of the drain', async () => {
    const answer = await fetch(`${deployment.operatorUrl('instance-3')}/drain`, {
      method: 'POST',
      headers: { authorization: `Bearer ${deployment.operatorKey}` },
      body: JSON.stringify({ endpoint: 'engine-1' }),
    });
    expect(answer.status).to.equal(200);
    await deployment.waitFor('every instance knows of the drain', () =>
      [...deployment.daemons.values()].every((daemon) => daemon.isLeaving('engine-1')),
    );
    const before = engineNamed('engine-1').attempts.length;
    await expectStreams(9, 5);
    expect(engineNamed('engine-1').attempts.length).to.equal(before);
  });

  it('discovers the endpoints at its start although most listed instances are dead', async () => {
    await deployment.startDaemon('instance-4', 0);
    await deployment.waitUntilReady();
    ['instance-1', 'instance-2', 'instance-3'].forEach((name) => deployment.killDaemon(name));
    const daemon = await deployment.startDaemon('instance-5', 1);
    expect(daemon.knowsEndpoint('engine-1')).to.equal(true);
    expect(daemon.knowsEndpoint('engine-2')).to.equal(true);
  });

  it('replaces every instance in turn under load without failing an idempotent request', async () => {
    let isDone = false;
    let count = 0;
    const failures: unknown[] = [];
    const sendRequests = async (): Promise<void> => {
      while (!isDone) {
        const names = [...deployment.daemons.keys()];
        const instance = names[count % names.length];
        count += 1;
        // eslint-disable-next-line no-await-in-loop -- callers send one request after another
        await expectStream(`rolling ${count}`, 20, instance).catch((error) => failures.push(error));
      }
    };
    const callers = [sendRequests(), sendRequests(), sendRequests()];
    const oldNames = [...deployment.daemons.keys()];
    for (let index = 0; index < oldNames.length; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- one instance after another
      await deployment.startDaemon(`instance-${index + 4}`, index);
      const leaving = deployment.daemons.get(oldNames[index]);
      // Callers no longer choose it: a load balancer sends nothing new to an instance that isn't ready.
      deployment.daemons.delete(oldNames[index]);
      // eslint-disable-next-line no-await-in-loop -- one instance after another
      await leaving?.stop();
    }
    isDone = true;
    await Promise.all(callers);
    expect(failures).to.deep.equal([]);
    expect(count).to.be.greaterThan(10);
  });
});
