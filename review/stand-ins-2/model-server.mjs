/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-restricted-syntax: off, no-param-reassign: off, n/no-sync: off, n/no-process-exit: off, no-bitwise: off, no-plusplus: off, no-continue: off, max-classes-per-file: off */
// Stand-in of a model engine: adapters and orders as PROTOCOL.md describes them, and streams of a few events.
import { once } from 'node:events';
import { createServer } from 'node:http';

const EVENT_COUNT = 4;
const EVENT_GAP_MS = 20;
const ADAPTER_LOAD_MS = 8;

const readAll = async (request) => {
  const parts = [];
  for await (const part of request) parts.push(part);
  return Buffer.concat(parts).toString('utf8');
};

export class ModelServer {
  constructor(id, { service, zone = 'zone-a', slots = 16, models = ['m1'], adapterSlots = 8 }) {
    Object.assign(this, { id, service, zone, slots, models, adapterSlots });
    this.born = Date.now();
    this.sequence = 0;
    this.orderCount = 0;
    /** Adapters as MODEL/NAME, with the number of requests that use each. */
    this.adapters = new Map();
    this.arrivals = [];
    /** Orders that arrived, in order, with the holder, the fence number and the answer. */
    this.orders = [];
    this.onOrder = () => {};
    this.sockets = new Set();
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.on('close', () => this.sockets.delete(socket));
    });
  }

  async start(host = '127.0.0.1') {
    this.server.listen(0, host);
    await once(this.server, 'listening');
    this.address = `${host}:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  get #models() {
    return this.models.map((Name) => ({
      Name,
      Version: 1,
      Adapters: [...this.adapters.keys()].flatMap((item) =>
        item.startsWith(`${Name}/`) ? [item.split('/')[1]] : [],
      ),
    }));
  }

  entry(state = 'ready') {
    this.sequence += 1;
    return {
      Service: this.service,
      Address: this.address,
      Zone: this.zone,
      Version: 'v1',
      Slots: this.slots,
      State: state,
      ColdLeftMs: 0,
      Sequence: this.sequence,
      born: this.born,
      Stage: 'unified',
      Models: this.#models,
    };
  }

  async #handle(request, response) {
    const body = await readAll(request);
    const { headers, url } = request;
    const expected = headers['x-chervilseam-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'X-Chervilseam-Instance-Id': this.id }).end();
      return;
    }
    if (url === '/chervilseam/report') {
      const report = { Stage: 'unified', Models: this.#models, Busy: false };
      const counts = {
        Sequence: this.orderCount,
        Queued: 0,
        Active: 0,
        KvUsed: 0,
        KvTotal: 90_000,
      };
      response.end(JSON.stringify({ born: this.born, ...report, ...counts, Handles: 0 }));
      return;
    }
    if (url === '/chervilseam/order') {
      this.#order(JSON.parse(body), response);
      return;
    }
    this.#run(request, response);
  }

  #order(order, response) {
    const status = this.#carryOut(order);
    this.orders.push({ ...order, status, atMs: performance.now(), server: this.id });
    this.onOrder(this.orders.at(-1));
    response.writeHead(status).end();
  }

  #carryOut({ Operation, Model, Adapter, Expected, Holder, Fence }) {
    if (Holder === undefined || Fence === undefined || !this.models.includes(Model)) return 400;
    if (Adapter === undefined) return 400;
    const item = `${Model}/${Adapter}`;
    const isHeld = this.adapters.has(item);
    if (isHeld === (Operation === 'load')) return 200;
    if (Expected !== undefined && Expected !== this.orderCount) return 409;
    this.orderCount += 1;
    if (Operation === 'load') {
      setTimeout(() => this.adapters.set(item, 0), ADAPTER_LOAD_MS);
      return 202;
    }
    if (this.adapters.get(item) > 0) return 202;
    this.adapters.delete(item);
    return 200;
  }

  #run(request, response) {
    const { headers } = request;
    const id = headers['x-chervilseam-request-id'];
    const item = headers['x-chervilseam-model'];
    const head = { 'X-Chervilseam-Request-Id': id };
    const isHeld = item.includes('/') ? this.adapters.has(item) : this.models.includes(item);
    if (!isHeld) {
      response.writeHead(421, { ...head, 'X-Chervilseam-Instance-Id': this.id }).end();
      return;
    }
    this.arrivals.push({ id, atMs: performance.now(), server: this.id });
    if (this.adapters.has(item)) {
      this.adapters.set(item, this.adapters.get(item) + 1);
      response.on('close', () => {
        if (this.adapters.has(item)) this.adapters.set(item, this.adapters.get(item) - 1);
      });
    }
    response.writeHead(200, {
      ...head,
      'X-Chervilseam-Server-Stamp': `stamp-${this.id}`,
      'Content-Type': 'text/event-stream',
    });
    let number = Number(headers['last-event-id'] ?? 0);
    const next = () => {
      if (response.destroyed) return;
      number += 1;
      response.write(`id: ${number}\ndata: token ${number}\n\n`);
      if (number >= EVENT_COUNT) response.end();
      else setTimeout(next, EVENT_GAP_MS);
    };
    setTimeout(next, EVENT_GAP_MS);
  }
}
