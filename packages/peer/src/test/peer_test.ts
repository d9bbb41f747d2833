import { connect } from 'node:net';
import { expect } from 'chai';
import fc from 'fast-check';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { createStreamPair, PeerPool, PeerServer } from '../index.js';
import type { PeerStream } from '../index.js';

const HOST = '127.0.0.1';

interface Fixture {
  readonly port: number;
  readonly pool: PeerPool;
  readonly connectionErrors: Error[];
  close(): void;
}

async function startPeers(poolSecret = 'shared'): Promise<Fixture> {
  const connectionErrors: Error[] = [];
  const echo = (params: unknown, stream: PeerStream): void => {
    // A handler receives the events of its stream through the listener that it assigns.
    // eslint-disable-next-line no-param-reassign
    stream.listener = {
      onData: (data) => stream.write(data),
      onEnd: () => stream.end(params),
    };
  };
  const handlers = { echo };
  const server = new PeerServer({ instance: 'b', secret: 'shared', handlers }, (error) =>
    connectionErrors.push(error),
  );
  const port = await server.listen(HOST, 0);
  const pool = new PeerPool({ instance: 'a', secret: poolSecret, handlers: {} });
  const close = (): void => {
    pool.close();
    server.close();
  };
  return { port, pool, connectionErrors, close };
}

// Every answer had a time limit for the whole of it, so that a large one never arrived over a slow link.
describe('peer downloads', () => {
  const PART_BYTES = 1_000;
  const bounds = { silenceMs: 150, totalMs: 600, bytesMax: 50 * PART_BYTES };

  const download = async (partCount: number, gapMs: number): Promise<unknown> => {
    const parts = (_: unknown, stream: PeerStream): void => {
      let sentCount = 0;
      const timer = setInterval(() => {
        sentCount += 1;
        stream.write(Buffer.alloc(PART_BYTES));
        if (sentCount < partCount) return;
        clearInterval(timer);
        stream.end();
      }, gapMs);
    };
    const server = new PeerServer({ instance: 'b', secret: 'shared', handlers: { parts } });
    const port = await server.listen(HOST, 0);
    const pool = new PeerPool({ instance: 'a', secret: 'shared', handlers: {} });
    const answer = await pool
      .download({ host: HOST, port }, 'parts', {}, bounds)
      .catch((error: unknown) => error);
    pool.close();
    server.close();
    return answer;
  };

  it('complete although they take longer than they may be silent', async () => {
    expect(await download(8, 50)).to.have.lengthOf(8 * PART_BYTES);
  });

  it('fail after a silence', async () => {
    expect(String(await download(2, 300))).to.match(/delivered nothing for 150 ms/);
  });

  it('fail when data comes now and then without an end', async () => {
    expect(String(await download(1_000, 100))).to.match(/timed out after 600 ms/);
  });

  it('fail when more data comes than may be kept', async () => {
    expect(String(await download(1_000, 1))).to.match(/more than 50000 bytes/);
  });
});

describe('peer streams', () => {
  it('answers a call', async () => {
    const { port, pool, close } = await startPeers();
    const answer = await pool.call({ host: HOST, port }, 'echo', { n: 7 }, 5_000);
    expect(answer).to.deep.equal({ n: 7 });
    close();
  });

  it('delivers more bytes than the window holds, in order, when the reader pauses', async () => {
    const { port, pool, close } = await startPeers();
    const stream = await pool.open({ host: HOST, port }, 'echo', {});
    const sent = Buffer.alloc(2 * 1024 * 1024, 1);
    for (let offset = 0; offset < sent.length; offset += 4096) sent.writeUInt32BE(offset, offset);
    const parts: Uint8Array[] = [];
    const received = await new Promise<Buffer>((resolve) => {
      let offset = 0;
      const pump = (): void => {
        while (offset < sent.length) {
          const part = sent.subarray(offset, offset + 60_000);
          offset += part.length;
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
    expect(received.equals(sent)).to.equal(true);
    close();
  });

  // Frames that arrived while the reader had paused were kept one by one, however short: an engine that sends a byte at a
  // time, whose answer is passed on frame by frame, chose how much memory they took.
  it('keeps what arrives during a pause in one piece', async () => {
    const { opener, handler } = createStreamPair();
    const received: string[] = [];
    opener.listener = { onData: (data) => received.push(Buffer.from(data).toString()) };
    opener.pause();
    for (let index = 0; index < 4; index += 1) {
      handler.write(Buffer.from(`${index}`));
      // eslint-disable-next-line no-await-in-loop
      await nextTurn();
    }
    expect(received).to.deep.equal([]);
    opener.resume();
    expect(received).to.deep.equal(['0123']);
  });

  // Each chunk of an answer took a frame of its own, thirty times as long as a chunk of one byte and kept until it was sent.
  it('sends what is written in the same turn in one frame, in order', async () => {
    const { opener, handler } = createStreamPair();
    const received: string[] = [];
    opener.listener = {
      onHead: (params) => received.push(`head ${String(params)}`),
      onData: (data) => received.push(Buffer.from(data).toString().slice(0, 4)),
      onEnd: () => received.push('end'),
    };
    handler.write(Buffer.from('a'));
    handler.head(1);
    ['b', 'c', 'd'.repeat(2_000), 'e', 'f'].forEach((text) => handler.write(Buffer.from(text)));
    await nextTurn();
    handler.write(Buffer.from('g'));
    handler.end();
    expect(received).to.deep.equal(['a', 'head 1', 'bc', 'dddd', 'ef', 'g', 'end']);
  });

  it('cancels a handler after its request has ended', async () => {
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

  it('rejects a peer with another key', async () => {
    const { port, pool, connectionErrors, close } = await startPeers('other');
    const failure = await pool
      .call({ host: HOST, port }, 'echo', {}, 5_000)
      .catch((error: Error) => error);
    // The side that checks the other's proof first reports the wrong key; the other side only sees that
    // the connection is closed.
    const messages = [failure as Error, ...connectionErrors].map((error) => error.message);
    expect(messages.join()).to.include('another key');
    close();
  });

  it('fails a call to an unknown method and keeps the connection', async () => {
    const { port, pool, close } = await startPeers();
    const failure = await pool
      .call({ host: HOST, port }, 'nothing', {}, 5_000)
      .catch((error: Error) => error);
    expect((failure as Error).message).to.include('no method');
    expect(await pool.call({ host: HOST, port }, 'echo', 1, 5_000)).to.equal(1);
    close();
  });

  it('closes only the connection that sends malformed frames', async () => {
    const { port, pool, close } = await startPeers();
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
