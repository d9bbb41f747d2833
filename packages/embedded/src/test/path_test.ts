import { engineAnswer } from '@chervilseam/stand-ins';
import { expect } from 'chai';
import OpenAI from 'openai';
import { Deployment } from '../index.js';

const MODEL_TOML = `
[[model]]
name = "die-assistant"
weightsBytes = 16_000_000_000
[[adapter]]
name = "radiatori"
model = "die-assistant"
weightsBytes = 50_000_000
[[service]]
name = "order-desk"
`;
const RESIDENTS = { 'model/die-assistant@1': 16e9, 'adapter/radiatori': 5e7 };

const messages = [{ role: 'user' as const, content: 'The die scores the dough.' }];

describe('a request from caller to endpoint', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await Deployment.start({
      instanceCount: 3,
      domainCount: 3,
      configToml: MODEL_TOML,
      engines: [
        { name: 'engine-1', domain: 0, engine: { residents: RESIDENTS } },
        { name: 'engine-2', domain: 1, engine: { residents: RESIDENTS } },
      ],
      services: [{ name: 'desk-1', domain: 2, service: 'order-desk' }],
    });
  });

  after(() => deployment.stop());

  /** The answer that the engine stand-ins give to `messages`. */
  const answer = (model: string, count: number): string =>
    engineAnswer(model, JSON.stringify(messages), count).join('');

  it('answers the openai client at every instance', async () => {
    const names = [...deployment.daemons.keys()];
    const texts = await Promise.all(
      names.map(async (name) => {
        const baseURL = `${deployment.callerUrl(name)}/v1`;
        const client = new OpenAI({ baseURL, apiKey: deployment.callerKey });
        const model = 'die-assistant:radiatori';
        const result = await client.chat.completions.create({ model, messages, max_tokens: 9 });
        return result.choices[0].message.content;
      }),
    );
    texts.forEach((text) => expect(text).to.equal(answer('die-assistant:radiatori', 9)));
  });

  it('answers text completions of the openai client, in one piece and as a stream', async () => {
    const baseURL = `${deployment.callerUrl()}/v1`;
    const client = new OpenAI({ baseURL, apiKey: deployment.callerKey });
    const request = { model: 'die-assistant', prompt: 'A die', max_tokens: 5 };
    const expected = engineAnswer('die-assistant', JSON.stringify('A die'), 5).join('');
    const single = await client.completions.create(request);
    expect(single.choices[0].text).to.equal(expected);
    const stream = await client.completions.create({ ...request, stream: true });
    const parts: string[] = [];
    // eslint-disable-next-line no-restricted-syntax -- a stream is read in order
    for await (const chunk of stream) parts.push(chunk.choices[0]?.text ?? '');
    expect(parts.join('')).to.equal(expected);
    const models = await client.models.list();
    expect(models.data.map(({ id }) => id)).to.include('die-assistant:radiatori');
  });

  it('streams chat completions to the openai client', async () => {
    const baseURL = `${deployment.callerUrl('instance-3')}/v1`;
    const client = new OpenAI({ baseURL, apiKey: deployment.callerKey });
    const stream = await client.chat.completions.create({
      model: 'die-assistant',
      messages,
      max_tokens: 40,
      stream: true,
    });
    const parts: string[] = [];
    // eslint-disable-next-line no-restricted-syntax -- a stream is read in order
    for await (const chunk of stream) parts.push(chunk.choices[0]?.delta.content ?? '');
    expect(parts.join('')).to.equal(answer('die-assistant', 40));
  });

  it('cancels the request at the engine when the caller disconnects', async () => {
    const baseURL = `${deployment.callerUrl()}/v1`;
    const client = new OpenAI({ baseURL, apiKey: deployment.callerKey });
    const stream = await client.chat.completions.create({
      model: 'die-assistant',
      messages,
      max_tokens: 5_000,
      stream: true,
    });
    const first = await stream[Symbol.asyncIterator]().next();
    expect(first.value?.object).to.equal('chat.completion.chunk');
    stream.controller.abort();
    const cancelled = (): number =>
      [...deployment.engines.values()].reduce((sum, engine) => sum + engine.cancelledCount, 0);
    await deployment.waitFor('an engine counted the cancelled request', () => cancelled() === 1);
  });

  it('forwards a request to a plain service and reports the outcome in a header', async () => {
    const response = await deployment.call('/services/order-desk/orders', {
      instance: 'instance-2',
      body: { reference: 'order-1' },
    });
    expect(response.status).to.equal(200);
    expect(response.headers.get('chervilseam-outcome')).to.equal('ran');
    expect(await response.json()).to.deep.equal({ reference: 'order-1', effect: 1 });
  });

  it('forwards a body of 1 MB to a service', async () => {
    const body = { reference: 'long', padding: 'x'.repeat(1_000_000) };
    const response = await deployment.call('/services/order-desk/orders', { body });
    expect(await response.json()).to.deep.equal({ reference: 'long', effect: 1 });
  });

  it('adds the spans of entry, owner and endpoint to the caller\u2019s trace', async () => {
    const trace = '0123456789abcdef0123456789abcdef';
    const headers = { traceparent: `00-${trace}-0123456789abcdef-01` };
    const body = { model: 'die-assistant', messages, max_tokens: 2 };
    const response = await deployment.call('/v1/chat/completions', { body, headers });
    await response.text();
    expect(response.headers.get('traceparent')).to.include(trace);
    const hops = [...deployment.daemons.values()].flatMap((daemon) => daemon.tracer.latest(trace));
    expect(hops.map(({ hop }) => hop)).to.have.members(['entry', 'owner', 'endpoint']);
  });

  it('refuses invalid requests in OpenAI\u2019s error format, each with its code and outcome', async () => {
    const cases: [string, unknown, Record<string, string>, number, string][] = [
      ['/v1/chat/completions', { model: 'none', messages }, {}, 404, 'model_not_found'],
      ['/v1/chat/completions', { messages }, {}, 400, 'bad_request'],
      ['/v1/chat/completions', [], {}, 400, 'bad_request'],
      ['/v1/chat/completions', {}, { authorization: 'Bearer x' }, 401, 'unauthorized'],
      ['/services/none/x', {}, {}, 404, 'service_not_found'],
      ['/nothing', {}, {}, 404, 'route_not_found'],
      ['/services/order-desk/x', {}, { 'chervilseam-deadline-ms': 'soon' }, 400, 'bad_request'],
    ];
    await Promise.all(
      cases.map(async ([path, body, headers, status, code]) => {
        const response = await deployment.call(path, { body, headers });
        expect(response.status, path).to.equal(status);
        const { error } = (await response.json()) as { error: Record<string, string> };
        expect(error.code).to.equal(code);
        expect(error.outcome).to.equal('not-run');
        expect(response.headers.get('chervilseam-outcome')).to.equal('not-run');
      }),
    );
  });
});
