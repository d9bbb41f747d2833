import { createServer, request as httpRequest } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { MemoryBudget } from '@chervilseam/decisions';
import { CallerExchange } from '../lib/ingress/caller-exchange.js';
import type { MemoryKind } from '../lib/ingress/memory-kind.js';

const EVENT = Buffer.from('\n\n');
const EVENT_COUNT = 10_000;
const BUDGET_BYTES = 100 * 1024 * 1024;
/** More than the kernel takes of an answer that nobody reads, in bytes. */
const UNREAD_BYTES = 32 * 1024 * 1024;
const LONG = Buffer.alloc(64 * 1024, 'x');

// Each event was written by itself, and its bytes alone counted: streams of the shortest events to callers that do not read
// exhausted the heap.
describe('CallerExchange', () => {
  let server: Server;
  let memory: MemoryBudget<MemoryKind>;
  let exchange: CallerExchange;
  let response: IncomingMessage;
  let writeCount: number;

  const countWrites = (answer: ServerResponse): void => {
    const write = answer.write.bind(answer) as (...values: unknown[]) => boolean;
    Object.assign(answer, {
      write: (...values: unknown[]) => {
        writeCount += 1;
        return write(...values);
      },
    });
  };

  beforeEach(async () => {
    writeCount = 0;
    memory = new MemoryBudget(BUDGET_BYTES);
    const accepted = new Promise<void>((resolve) => {
      server = createServer((request, answer) => {
        countWrites(answer);
        exchange = new CallerExchange(request, answer, 0, { readLagMs: 0, isFirst: true });
        exchange.holdUnsent(memory);
        exchange.head(200, []);
        resolve();
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const received = new Promise<IncomingMessage>((resolve) => {
      httpRequest({ host: '127.0.0.1', port }, resolve).end();
    });
    await accepted;
    response = await received;
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  it('writes events in few pieces, in order, and ends after the last', async () => {
    const body = text(response);
    for (let number = 0; number < EVENT_COUNT; number += 1) {
      exchange.write(Buffer.from(`${number}\n\n`));
    }
    exchange.end(Buffer.from('end'));
    const numbers = Array.from({ length: EVENT_COUNT }, (_, number) => `${number}\n\n`);
    expect(await body).to.equal(`${numbers.join('')}end`);
    expect(writeCount).to.be.lessThan(10);
  });

  it('keeps what its caller does not read in one piece, and counts it', async () => {
    for (let bytes = 0; exchange.isWritable && bytes < UNREAD_BYTES; bytes += LONG.length) {
      exchange.write(LONG);
      // eslint-disable-next-line no-await-in-loop
      await sleep(1);
    }
    expect(exchange.isWritable).to.equal(false);
    const before = { writeCount, usedBytes: memory.usedBytes };
    for (let number = 0; number < EVENT_COUNT; number += 1) exchange.write(EVENT);
    expect(writeCount).to.equal(before.writeCount);
    expect(memory.usedBytes - before.usedBytes).to.be.within(0, 2 * EVENT_COUNT * EVENT.length);
  });

  it('can be written again once its caller reads', async () => {
    for (let bytes = 0; exchange.isWritable && bytes < UNREAD_BYTES; bytes += LONG.length) {
      exchange.write(LONG);
      // eslint-disable-next-line no-await-in-loop
      await sleep(1);
    }
    const drained = new Promise<void>((resolve) => {
      exchange.onDrain = resolve;
    });
    response.resume();
    await drained;
    expect(exchange.isWritable).to.equal(true);
  });
});
