import { connect } from 'node:net';
import { expect } from 'chai';
import fc from 'fast-check';
import { Deployment } from '../index.js';

/** Number of request bodies to try unless `CHERVILSEAM_FUZZ_RUNS` gives another. */
const DEFAULT_RUNS = 200;
const runs = Number(process.env.CHERVILSEAM_FUZZ_RUNS ?? DEFAULT_RUNS);
/** Number of requests that are sent at the same time. */
const BATCH_SIZE = 20;

describe('the HTTP server for callers under invalid input', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await Deployment.start({
      instanceCount: 1,
      configToml: '[[model]]\nname = "m"\nweightsBytes = 1\n[[service]]\nname = "s"\n',
      engines: [{ name: 'e', domain: 0, engine: { residents: { 'model/m@1': 1 }, tokenMs: 0 } }],
    });
  });

  after(() => deployment.stop());

  it('answers any body with 200 or with a specific error code, never with `internal`', async () => {
    const body = fc.oneof(
      fc.json(),
      fc.string(),
      fc.record(
        {
          model: fc.oneof(fc.constant('m'), fc.constant('m:a:b'), fc.string(), fc.integer()),
          messages: fc.oneof(fc.constant([]), fc.anything()),
          stream: fc.oneof(fc.boolean(), fc.constant(null), fc.string()),
          max_tokens: fc.constant(2),
        },
        { requiredKeys: [] },
      ),
    );
    const bodies = fc.sample(body, { numRuns: runs, seed: 31 });
    const sendBody = async (value: unknown): Promise<void> => {
      const response = await fetch(`${deployment.callerUrl()}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${deployment.callerKey}` },
        body: typeof value === 'string' ? value : JSON.stringify(value),
      });
      const text = await response.text();
      if (response.status === 200) return;
      const { error } = JSON.parse(text) as { error: { code: string; message: string } };
      expect(error.code).to.match(/^[a-z_]+$/);
      expect(error.code).not.to.equal('internal');
      expect(error.message).not.to.equal('');
    };
    for (let at = 0; at < bodies.length; at += BATCH_SIZE) {
      // eslint-disable-next-line no-await-in-loop -- batches limit the load
      await Promise.all(bodies.slice(at, at + BATCH_SIZE).map(sendBody));
    }
  });

  it('keeps serving after connections that send random bytes', async () => {
    const port = Number(new URL(deployment.callerUrl()).port);
    const junk = fc.sample(fc.uint8Array({ maxLength: 300 }), { numRuns: 60, seed: 32 });
    await Promise.all(
      junk.map(
        (bytes) =>
          new Promise<void>((resolve) => {
            const socket = connect(port, '127.0.0.1', () => socket.end(Buffer.from(bytes)));
            socket.on('error', () => {});
            socket.on('data', () => {});
            socket.on('close', () => resolve());
          }),
      ),
    );
    expect((await deployment.call('/v1/models')).status).to.equal(200);
  });

  it('refuses a body that is too large with status 413', async () => {
    const body = { model: 'm', messages: [{ role: 'user', content: 'x'.repeat(5_000_000) }] };
    const response = await deployment.call('/v1/chat/completions', { body });
    expect(response.status).to.equal(413);
    const { error } = (await response.json()) as { error: { code: string } };
    expect(error.code).to.equal('body_too_large');
  });

  it('refuses more than 100 header lines with status 400', async () => {
    const headers = Object.fromEntries(
      Array.from({ length: 120 }, (_, index) => [`x-extra-${index}`, '1']),
    );
    const response = await deployment.call('/v1/models', { headers });
    expect(response.status).to.equal(400);
    expect(await response.text()).to.include('more than 100 header lines');
  });
});
