import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { expect } from 'chai';
import { createDrivers } from '@chervilseam/endpoints';
import { Outcome } from '@chervilseam/model';

const TIMEOUT_MS = 2_000;

interface Result {
  readonly body: string;
  /** `undefined` when the answer was complete. */
  readonly outcome: Outcome | undefined;
}

// An answer without a length was complete whenever its connection ended, also when its endpoint had crashed within it.
describe('An answer without a length from an endpoint', () => {
  let server: Server;
  let bytes: string;

  beforeEach(async () => {
    server = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => socket.end(bytes));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(() => server.close());

  const send = async (method = 'GET'): Promise<Result> => {
    const { service } = createDrivers();
    const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const result = await new Promise<Result>((resolve) => {
      let body = '';
      service.send(
        {
          origin,
          method,
          path: '/',
          headers: {},
          body: undefined,
          isBodyStreamed: false,
          headTimeoutMs: TIMEOUT_MS,
        },
        {
          onHead: () => {},
          onData: (data) => {
            body += data.toString();
            return true;
          },
          onEnd: () => resolve({ body, outcome: undefined }),
          onFail: ({ outcome }) => resolve({ body, outcome }),
          onDrain: () => {},
        },
      );
    });
    await service.close();
    return result;
  };

  it('is not taken for complete', async () => {
    bytes = 'HTTP/1.1 200 OK\r\n\r\n{"price":1';
    expect(await send()).to.deep.equal({ body: '{"price":1', outcome: Outcome.unknown });
  });

  it('is complete when it is a stream of events, which has an end marker', async () => {
    const events = 'data: a\n\ndata: [DONE]\n\n';
    bytes = `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\n\r\n${events}`;
    expect(await send()).to.deep.equal({ body: events, outcome: undefined });
  });

  it('is complete when it has no body', async () => {
    bytes = 'HTTP/1.1 204 No Content\r\n\r\n';
    expect((await send()).outcome).to.equal(undefined);
    bytes = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
    expect((await send('HEAD')).outcome).to.equal(undefined);
  });
});
