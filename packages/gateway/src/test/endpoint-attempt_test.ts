import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { EndpointAttempt } from '../lib/dispatch/endpoint-attempt.js';
import { Endpoint } from '../lib/feed/endpoint.js';
import { AnswerFraming } from '../lib/ports/answer-framing.js';
import type { AnswerHead } from '../lib/ports/answer-head.js';
import { endpointRecordOf } from './endpoint-record-of.js';

const TIMEOUT_MS = 2_000;
/** Time after which the client library uses a connection again, in milliseconds. */
const REUSE_MS = 20;

/** How an attempt ended, and what its listener had received. */
interface Result {
  readonly outcome: 'complete' | 'ends with its connection' | 'failed';
  readonly statuses: readonly number[];
  readonly body: string;
}

const readAnswer = (status: number, raw: readonly Buffer[]): AnswerHead => {
  const headers = raw.map((bytes) => bytes.toString('latin1'));
  const names = headers.map((text) => text.toLowerCase());
  const framing = names.includes('transfer-encoding')
    ? AnswerFraming.chunks
    : AnswerFraming[names.includes('content-length') ? 'length' : 'connection'];
  return {
    status,
    requestId: undefined,
    isSigned: true,
    didNotRun: false,
    isMisdirected: false,
    isLeaving: false,
    endpointId: undefined,
    framing,
    headers,
  };
};

const HEAD = 'HTTP/1.1 200 OK\r\nX-Stamp: s\r\n';
const chunked = `${HEAD}Transfer-Encoding: chunked\r\n`;
const EVENT = 'id: 1\ndata: a\n\n';

describe('EndpointAttempt', () => {
  let server: Server;
  let endpoint: Endpoint;
  let sockets: Socket[];
  let script: (socket: Socket, index: number) => void;

  beforeEach(async () => {
    sockets = [];
    let requestCount = 0;
    server = createServer((socket) => {
      sockets.push(socket);
      socket.on('error', () => {});
      socket.on('data', () => {
        requestCount += 1;
        script(socket, requestCount);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    endpoint = new Endpoint({ ...endpointRecordOf('engine'), host: '127.0.0.1', port });
  });

  afterEach(() => {
    endpoint.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });

  const send = (): Promise<Result> =>
    new Promise((resolve, reject) => {
      const statuses: number[] = [];
      let body = '';
      setTimeout(() => reject(new Error('the attempt did not end')), TIMEOUT_MS).unref();
      const attempt = new EndpointAttempt(
        {
          onHead: ({ status }) => statuses.push(status),
          onData: (chunk) => {
            body += chunk.toString();
            return true;
          },
          onEnd: (isCertain) =>
            resolve({
              outcome: isCertain ? 'complete' : 'ends with its connection',
              statuses,
              body,
            }),
          onFail: () => resolve({ outcome: 'failed', statuses, body }),
        },
        readAnswer,
        () => endpoint.connectionEnding,
      );
      const body0 = Buffer.from('{}');
      attempt.send(endpoint.pool, { method: 'POST', path: '/', headers: [], body: body0 });
    });

  const endings: Readonly<Record<string, (socket: Socket) => void>> = {
    'a normal close': (socket) => socket.end(),
    'a reset': (socket) => socket.resetAndDestroy(),
  };

  // An engine stopped in the middle of its head and closed. A client library that took what it had for a
  // head passed on a 200 with an empty or short body, framed as whole.
  const halfHeads: Readonly<Record<string, string>> = {
    'within the status line': 'HTTP/1.1 20',
    'after the status line': 'HTTP/1.1 200 OK\r\n',
    'within a header': `${HEAD}Content-Le`,
    'after the length': `${HEAD}Content-Length: 0\r\n`,
    'after the transfer encoding': chunked,
    'after the announcement to close': `${HEAD}Connection: close\r\n`,
    'after an interim answer': `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${HEAD}`,
  };
  Object.entries(endings).forEach(([ending, end]) => {
    Object.entries(halfHeads).forEach(([where, bytes]) => {
      it(`fails when a head stops ${where}, by ${ending}`, async () => {
        script = (socket) => socket.write(bytes, () => setTimeout(() => end(socket), 20));
        expect(await send()).to.deep.equal({ outcome: 'failed', statuses: [], body: '' });
      });

      it(`fails when a head stops ${where} on a kept connection, by ${ending}`, async () => {
        script = (socket, index) => {
          if (index === 1) socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
          else socket.write(bytes, () => setTimeout(() => end(socket), 20));
        };
        expect((await send()).outcome).to.equal('complete');
        await sleep(REUSE_MS);
        expect(await send()).to.deep.equal({ outcome: 'failed', statuses: [], body: '' });
        expect(sockets).to.have.length(1);
      });
    });
  });

  // Each chunk of a body was passed on by itself, and all that had been read of it in one go: answers in chunks of one byte kept
  // the event loop from everything else.
  describe('with a body in chunks of one byte', () => {
    const BODY_BYTES = 20_000;
    /** Chunks that may be passed on before other connections have their turn. */
    const TURN_BYTES_MAX = 2_000;
    const body = Array.from({ length: BODY_BYTES }, (_, index) => String(index % 10)).join('');
    let parts: string[];
    let turnBytes: number[];
    let isWritable: (part: string) => boolean;

    beforeEach(() => {
      parts = [];
      turnBytes = [0];
      isWritable = () => true;
      const chunks = [...body].map((letter) => `1\r\n${letter}\r\n`).join('');
      script = (socket) => socket.write(`${chunked}\r\n${chunks}0\r\n\r\n`);
    });

    const receive = (): { attempt: EndpointAttempt; ended: Promise<boolean> } => {
      let attempt!: EndpointAttempt;
      const ended = new Promise<boolean>((resolve) => {
        attempt = new EndpointAttempt(
          {
            onHead: () => {},
            onData: (chunk) => {
              parts.push(chunk.toString());
              turnBytes[turnBytes.length - 1] += chunk.length;
              return isWritable(chunk.toString());
            },
            onEnd: (isCertain) => resolve(isCertain),
            onFail: () => resolve(false),
          },
          readAnswer,
          () => endpoint.connectionEnding,
        );
      });
      const request = { method: 'POST', path: '/', headers: [], body: Buffer.from('{}') };
      attempt.send(endpoint.pool, request);
      return { attempt, ended };
    };

    it('passes it on whole, in few parts', async () => {
      expect(await receive().ended).to.equal(true);
      expect(parts.join('')).to.equal(body);
      expect(parts.length).to.be.lessThan(BODY_BYTES / 100);
    });

    it('lets other connections have their turn', async () => {
      let isOver = false;
      const nextTurn = (): void => {
        turnBytes.push(0);
        if (!isOver) setImmediate(nextTurn);
      };
      nextTurn();
      await receive().ended;
      isOver = true;
      expect(Math.max(...turnBytes)).to.be.lessThan(TURN_BYTES_MAX);
    });

    it('stops while its listener cannot take more, and goes on', async () => {
      isWritable = (part) => part.length < 100;
      const { attempt, ended } = receive();
      let isOver = false;
      void ended.then(() => {
        isOver = true;
      });
      while (!isOver) {
        const { length } = parts;
        // eslint-disable-next-line no-await-in-loop
        await sleep(5);
        expect(parts.length - length, 'parts without a resume').to.be.at.most(6);
        attempt.resume();
      }
      expect(await ended).to.equal(true);
      expect(parts.join('')).to.equal(body);
    });
  });

  // Interim responses took the time of the request, and the processor, without end.
  it('fails when interim responses do not end', async () => {
    let sentCount = 0;
    script = (socket) => {
      const timer = setInterval(() => {
        sentCount += 1;
        socket.write('HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'.repeat(10));
      }, 5);
      socket.on('close', () => clearInterval(timer));
    };
    expect(await send()).to.deep.equal({ outcome: 'failed', statuses: [], body: '' });
    expect(sentCount).to.be.lessThan(20);
  });

  // An answer may have neither a length nor chunks: its connection ends it. Only a normal close does.
  const bodies: readonly {
    readonly name: string;
    readonly bytes: string;
    readonly byClose: Result['outcome'];
  }[] = [
    { name: 'with a length', bytes: `${HEAD}Content-Length: 90\r\n\r\n`, byClose: 'failed' },
    {
      name: 'with a length that announces to close',
      bytes: `${HEAD}Connection: close\r\nContent-Length: 90\r\n\r\n`,
      byClose: 'failed',
    },
    { name: 'in chunks', bytes: `${chunked}\r\nf\r\n`, byClose: 'failed' },
    {
      name: 'in chunks that announces to close',
      bytes: `${chunked}Connection: close\r\n\r\nf\r\n`,
      byClose: 'failed',
    },
    { name: 'without either', bytes: `${HEAD}\r\n`, byClose: 'ends with its connection' },
    {
      name: 'without either that announces to close',
      bytes: `${HEAD}Connection: close\r\n\r\n`,
      byClose: 'ends with its connection',
    },
  ];
  bodies.forEach(({ name, bytes, byClose }) => {
    Object.entries(endings).forEach(([ending, end]) => {
      const outcome = ending === 'a reset' ? 'failed' : byClose;
      it(`takes an answer ${name} for "${outcome}" after ${ending}`, async () => {
        script = (socket) => socket.write(bytes + EVENT, () => setTimeout(() => end(socket), 20));
        const result = await send();
        expect(result.outcome).to.equal(outcome);
        expect(result.body).to.equal(EVENT);
      });

      // A reset that arrived with the bytes before it was taken for a normal close, and the answer for a whole one.
      it(`takes an answer ${name} for "${outcome}" after ${ending} that arrives with its last bytes`, async () => {
        script = (socket) => {
          socket.write(bytes + EVENT);
          end(socket);
        };
        const result = await send();
        expect(result.outcome).to.equal(outcome);
        expect(EVENT.startsWith(result.body)).to.equal(true);
      });
    });
  });
});
