import { expect } from 'chai';
import { Deployment } from '../index.js';

const configToml = `
[[service]]
name = "order-desk"
[[policy]]
name = "orders-run-once"
services = { equal = {} }
nonIdempotent = true
`;

interface ErrorBody {
  readonly error: { readonly code: string; readonly outcome: string };
}

describe('idempotency keys on real daemons', () => {
  let deployment: Deployment;
  let count = 0;

  const desk = () => [...deployment.services.values()][0];

  before(async () => {
    deployment = await Deployment.start({
      instanceCount: 3,
      domainCount: 3,
      configToml,
      services: [{ name: 'desk-1', domain: 0, service: 'order-desk' }],
    });
  });

  after(() => deployment.stop());

  afterEach(() => {
    deployment.log.faults.isDown = false;
    desk().lostAnswerCount = 0;
    desk().delayMs = 0;
  });

  /** Number of times that the service carried out the order. */
  const effects = (reference: string): number => desk().effects.get(reference) ?? 0;
  const newReference = (): string => {
    count += 1;
    return `order-${count}`;
  };
  /** Sends an order; its reference is also the idempotency key unless another is given. */
  const order = (reference: string, instance: string, key = reference): Promise<Response> =>
    deployment.call('/services/order-desk/orders', {
      instance,
      body: { reference },
      headers: { 'idempotency-key': key },
    });
  const codeOf = async (response: Response): Promise<string> =>
    ((await response.json()) as ErrorBody).error.code;

  it('runs a request once when repeats arrive at all instances at the same time', async () => {
    desk().delayMs = 100;
    const reference = newReference();
    const names = [...deployment.daemons.keys(), ...deployment.daemons.keys()];
    const answers = await Promise.all(names.map((name) => order(reference, name)));
    expect(effects(reference)).to.equal(1);
    const texts = await Promise.all(answers.map((answer) => answer.text()));
    // Each repeat gets the answer of the one run, or an error saying that it is still in progress.
    answers.forEach(({ status }, index) => {
      if (status === 200) expect(JSON.parse(texts[index])).to.deep.equal({ reference, effect: 1 });
      else expect(JSON.parse(texts[index]).error.code).to.equal('key_in_progress');
    });
    expect(answers.some(({ status }) => status === 200)).to.equal(true);
  });

  it('replays the first answer to repeats at every instance', async () => {
    const reference = newReference();
    const first = await (await order(reference, 'instance-1')).text();
    const again = await Promise.all(
      [...deployment.daemons.keys()].map(async (name) => (await order(reference, name)).text()),
    );
    again.forEach((text) => expect(text).to.equal(first));
    expect(effects(reference)).to.equal(1);
  });

  it('refuses a key that was used with another body', async () => {
    const reference = newReference();
    await order(reference, 'instance-1');
    const response = await order(newReference(), 'instance-2', reference);
    expect(response.status).to.equal(422);
    expect(await codeOf(response)).to.equal('key_reused');
  });

  it('reports the outcome as unknown when the answer was lost, and does not run the request again', async () => {
    desk().lostAnswerCount = 1;
    const reference = newReference();
    const first = await order(reference, 'instance-1');
    expect(first.headers.get('chervilseam-outcome')).to.equal('unknown');
    const again = await order(reference, 'instance-2');
    expect(again.status).to.equal(409);
    expect(await codeOf(again)).to.equal('key_unknown');
    expect(effects(reference)).to.equal(1);
  });

  it('accepts the key again after the endpoint refused the request without running it', async () => {
    desk().refusalCount = 4;
    const reference = newReference();
    const first = await order(reference, 'instance-1');
    expect(first.headers.get('chervilseam-outcome')).to.equal('not-run');
    desk().refusalCount = 0;
    const again = await order(reference, 'instance-3');
    expect(again.status).to.equal(200);
    expect(effects(reference)).to.equal(1);
  });

  it('while the log is down, refuses a caller\u2019s own key as not run and accepts a key that an instance issued', async () => {
    deployment.log.faults.isDown = true;
    const reference = newReference();
    const refused = await order(reference, 'instance-1');
    expect(refused.headers.get('chervilseam-outcome')).to.equal('not-run');
    expect(await codeOf(refused)).to.equal('key_unordered');
    expect(effects(reference)).to.equal(0);
    const minted = await deployment.call('/v1/keys', { method: 'POST', instance: 'instance-2' });
    const { key } = (await minted.json()) as { key: string };
    const other = newReference();
    const names = ['instance-1', 'instance-2', 'instance-3'];
    const answers = await Promise.all(names.map((name) => order(other, name, key)));
    expect(answers.some(({ status }) => status === 200)).to.equal(true);
    expect(effects(other)).to.equal(1);
  });

  it('runs a request once although the log stored the append but its answer was lost', async () => {
    deployment.log.faults.lostAnswerCount = 1;
    const reference = newReference();
    const first = await order(reference, 'instance-2');
    expect(first.status).to.equal(200);
    expect(effects(reference)).to.equal(1);
  });

  it('reports the outcome as unknown for a key whose issuing instance died, and does not run it', async () => {
    await deployment.startDaemon('instance-4', 0);
    await deployment.waitUntilReady();
    const minted = await deployment.call('/v1/keys', { method: 'POST', instance: 'instance-4' });
    const { key } = (await minted.json()) as { key: string };
    const reference = newReference();
    expect((await order(reference, 'instance-4', key)).status).to.equal(200);
    deployment.killDaemon('instance-4');
    const again = await order(reference, 'instance-1', key);
    expect(await codeOf(again)).to.equal('key_unknown');
    expect(effects(reference)).to.equal(1);
  });
});
