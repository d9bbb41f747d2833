import { connect } from 'node:net';
import { expect } from 'chai';
import fc from 'fast-check';
import { createStreamPair, PeerPool, PeerServer } from '../index.js';
import type { PeerStream } from '../index.js';

const HOST = '127.0.0.1';

interface Fixture {
  readonly port: number;
  readonly pool: PeerPool;
  readonly rejected: Error[];
  close(): void;
}

async function start(poolSecret = 'shared'): Promise<Fixture> {
  const rejected: Error[] = [];
  const echo = (params: unknown, stream: PeerStream): void => {
    // Assigning the listener is how a handler takes up its stream.
    // eslint-disable-next-line no-param-reassign
    stream.listener = {
      onData: (data) => stream.write(data),
      onEnd: () => stream.end(params),
    };
  };
  const handlers = { echo };
  const server = new PeerServer({ instance: 'b', secret: 'shared', handlers }, (error) =>
    rejected.push(error),
  );
  const port = await server.listen(HOST, 0);
  const pool = new PeerPool({ instance: 'a', secret: poolSecret, handlers: {} });
  const close = (): void => {
    pool.close();
    server.close();
  };
  return { port, pool, rejected, close };
}

describe('peer streams', () => {
  it('answers a call', async () => {
    const { port, pool, close } = await start();
    const answer = await pool.call({ host: HOST, port }, 'echo', { n: 7 }, 5_000);
    expect(answer).to.deep.equal({ n: 7 });
    close();
  });

  it('carries more bytes than the window, in order, while the reader pauses', async () => {
    const { port, pool, close } = await start();
    const stream = await pool.open({ host: HOST, port }, 'echo', {});
    const sent = Buffer.alloc(2 * 1024 * 1024, 1);
    for (let at = 0; at < sent.length; at += 4096) sent.writeUInt32BE(at, at);
    const parts: Uint8Array[] = [];
    const whole = await new Promise<Buffer>((resolve) => {
      let at = 0;
      const pump = (): void => {
        while (at < sent.length) {
          const part = sent.subarray(at, at + 60_000);
          at += part.length;
          if (!stream.write(part)) return;
        }
        stream.end();
      };
      stream.listener = {
        onData: (data) => {
          parts.push(data);
          if (parts.length !== 3) return;
          stream.pause();
          setImmediate(() => stream.resume());
        },
        onDrain: pump,
        onEnd: () => resolve(Buffer.concat(parts)),
      };
      pump();
    });
    expect(whole.equals(sent)).to.equal(true);
    close();
  });

  it('tells a handler to give up after the request has ended', async () => {
    let reason: unknown;
    const { opener, handler } = createStreamPair();
    handler.listener = {
      onFail: (value) => {
        reason = value;
      },
    };
    opener.end();
    handler.write(Buffer.from('part'));
    opener.fail('cancelled');
    expect(reason).to.equal('cancelled');
    expect(handler.write(Buffer.alloc(1_000_000))).to.equal(true);
  });

  it('refuses another key', async () => {
    const { port, pool, rejected, close } = await start('other');
    const failure = await pool
      .call({ host: HOST, port }, 'echo', {}, 5_000)
      .catch((error: Error) => error);
    // Whichever side reads the other's proof first says so; the other one sees the loss.
    const messages = [failure as Error, ...rejected].map((error) => error.message);
    expect(messages.join()).to.include('another key');
    close();
  });

  it('fails a call to an unknown method and keeps the connection', async () => {
    const { port, pool, close } = await start();
    const failure = await pool
      .call({ host: HOST, port }, 'nothing', {}, 5_000)
      .catch((error: Error) => error);
    expect((failure as Error).message).to.include('no method');
    expect(await pool.call({ host: HOST, port }, 'echo', 1, 5_000)).to.equal(1);
    close();
  });

  it('closes only the connection that sends malformed frames', async () => {
    const { port, pool, close } = await start();
    expect(await pool.call({ host: HOST, port }, 'echo', 1, 5_000)).to.equal(1);
    const junk = fc.sample(fc.uint8Array({ minLength: 4, maxLength: 400 }), {
      numRuns: 40,
      seed: 11,
    });
    await Promise.all(
      junk.map(
        (bytes) =>
          new Promise<void>((resolve) => {
            const socket = connect(port, HOST, () => socket.end(Buffer.from(bytes)));
            socket.on('error', () => {});
            socket.on('data', () => {});
            socket.on('close', () => resolve());
          }),
      ),
    );
    expect(await pool.call({ host: HOST, port }, 'echo', 2, 5_000)).to.equal(2);
    close();
  });
});
