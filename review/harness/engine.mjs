/* eslint-disable */
// Stand-ins of servers: a plain service, and a model engine that takes orders.
import { createServer } from 'node:http';

const bodyOf = async (request) => {
  const parts = [];
  for await (const part of request) parts.push(part);
  return Buffer.concat(parts);
};

class Server {
  runs = [];
  arrivals = [];
  #server;
  #sockets = new Set();

  constructor(id, service) {
    this.id = id;
    this.service = service;
    this.bornMs = Date.now();
    this.#server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 20_000;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
  }

  async start(host, port = 0) {
    await new Promise((done) => this.#server.listen(port, host, done));
    this.address = `${host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  entry(state = 'ready') {
    return {
      Service: this.service,
      Address: this.address,
      Zone: 'zone-a',
      Version: 'v1',
      Slots: this.slots,
      State: state,
      ColdLeftMs: 0,
      Sequence: this.sequence ?? 0,
      born: this.bornMs,
    };
  }

  isOther(request, response) {
    const expected = request.headers['x-chervilseam-expect-instance'];
    if (expected === undefined || expected === this.id) return false;
    this.answerHead(request, response, 421, { 'X-Chervilseam-Instance-Id': this.id });
    response.end();
    return true;
  }

  answerHead(request, response, status, headers = {}) {
    response.writeHead(status, {
      'X-Chervilseam-Request-Id': request.headers['x-chervilseam-request-id'] ?? '',
      ...headers,
    });
  }
}

// Answers each request after its work, and drops it when its channel closes.
export class PlainServer extends Server {
  slots = 6;

  constructor(id, service, workMs) {
    super(id, service);
    this.workMs = workMs;
  }

  async handle(request, response) {
    const body = await bodyOf(request);
    if (this.isOther(request, response)) return;
    const id = request.headers['x-chervilseam-request-id'];
    const run = { id, startMs: performance.now(), endMs: undefined, isDropped: false };
    this.runs.push(run);
    response.on('close', () => {
      if (run.endMs === undefined) run.isDropped = true;
    });
    await new Promise((done) => setTimeout(done, this.workMs(request)));
    if (run.isDropped) return;
    run.endMs = performance.now();
    const answer = `done ${id} ${body.length} ${'x'.repeat(700)}`;
    this.answerHead(request, response, 200, {
      'X-Chervilseam-Server-Stamp': `stamp.${this.id}.${id}`,
      'Content-Length': answer.length,
    });
    response.end(answer);
  }
}

const MODEL_MS = 300;
const ADAPTER_MS = 8;

// A model engine: it serves streams for what it holds, and takes orders. `fate` says what becomes of an order:
// 'answered', or 'late' for one that gets no answer and is carried out after `lateMs`.
export class Engine extends Server {
  slots = 24;
  sequence = 0;
  orders = [];
  fate = () => 'answered';
  lateMs = 2_000;
  onOrder = () => {};
  eventCount = 8;
  eventMs = 20;
  // Whether an answer has neither a length nor chunks, and ends with its channel.
  isUnframed = () => false;
  onEvent = () => {};
  #models;
  #busy = false;
  #active = 0;

  constructor(id, service, models, { sizeMb, adapterSlots, sizes }) {
    super(id, service);
    this.#models = new Map(models.map((name) => [name, new Map()]));
    this.limits = { sizeMb, adapterSlots, sizes };
  }

  get holdings() {
    return [...this.#models].map(([Name, adapters]) => ({
      Name,
      Version: 1,
      Adapters: [...adapters].flatMap(([name, { isReady }]) => (isReady ? [name] : [])),
    }));
  }

  entry(state) {
    return {
      ...super.entry(state),
      Stage: 'unified',
      Models: this.holdings,
      AtHand: { InMemory: [], OnDisk: [...this.#models.keys()] },
    };
  }

  async handle(request, response) {
    const body = await bodyOf(request);
    if (this.isOther(request, response)) return;
    if (request.url === '/chervilseam/report') this.#report(response);
    else if (request.url === '/chervilseam/order') this.#onOrder(JSON.parse(body), response);
    else await this.#run(request, response);
  }

  #report(response) {
    const Pending = [...this.#models].flatMap(([model, adapters]) =>
      [...adapters].flatMap(([name, { isReady }]) => (isReady ? [] : [`${model}/${name}@1`])),
    );
    response.setHeader('Content-Type', 'application/json');
    response.end(
      JSON.stringify({
        born: this.bornMs,
        Stage: 'unified',
        Models: this.holdings,
        Busy: this.#busy,
        Sequence: this.sequence,
        Queued: 0,
        Active: this.#active,
        KvUsed: 0,
        KvTotal: 90_000,
        Handles: 0,
        Pending,
      }),
    );
  }

  #onOrder(order, response) {
    const one = { ...order, atMs: performance.now(), fate: this.fate(order) };
    this.orders.push(one);
    if (one.fate === 'late') {
      // The channel stays open and silent.
      setTimeout(() => {
        one.status = `${this.#apply(order)} late, not said`;
      }, this.lateMs);
    } else {
      one.status = this.#apply(order);
      response.writeHead(one.status, { 'Content-Length': 0 });
      response.end();
    }
    this.onOrder(one, this);
  }

  #apply({ Operation, Model, Adapter, Expected }) {
    const adapters = this.#models.get(Model);
    if (this.#busy) return 409;
    if (Expected !== undefined && Expected !== this.sequence) return 409;
    if (Adapter !== undefined) {
      if (!adapters) return 400;
      if (Operation === 'load') {
        if (adapters.has(Adapter)) return 200;
        this.sequence += 1;
        const entry = { isReady: false, uses: 0 };
        adapters.set(Adapter, entry);
        setTimeout(() => {
          entry.isReady = true;
        }, ADAPTER_MS);
        return 202;
      }
      const entry = adapters.get(Adapter);
      if (!entry) return 200;
      this.sequence += 1;
      if (entry.uses === 0) {
        adapters.delete(Adapter);
        return 200;
      }
      entry.isLeaving = true;
      return 202;
    }
    if (Operation === 'load' ? adapters : !adapters) return 200;
    this.sequence += 1;
    this.#busy = true;
    setTimeout(() => {
      this.#busy = false;
      if (Operation === 'load') this.#models.set(Model, new Map());
      else this.#models.delete(Model);
    }, MODEL_MS);
    return 202;
  }

  async #run(request, response) {
    const id = request.headers['x-chervilseam-request-id'];
    const [model, adapter] = String(request.headers['x-chervilseam-model'] ?? '').split('/');
    const held = this.#models.get(model);
    const entry = adapter === undefined ? undefined : held?.get(adapter);
    if (!held || (adapter !== undefined && !entry?.isReady)) {
      this.answerHead(request, response, 421, { 'X-Chervilseam-Instance-Id': this.id });
      response.end();
      return;
    }
    if (this.#active >= this.slots || entry?.isLeaving) {
      this.answerHead(request, response, 503, { 'X-Chervilseam-Not-Run': '1' });
      response.end();
      return;
    }
    const run = { id, startMs: performance.now(), endMs: undefined, isDropped: false };
    this.runs.push(run);
    this.#active += 1;
    if (entry) entry.uses += 1;
    response.on('close', () => {
      if (run.endMs === undefined) run.isDropped = true;
      this.#active -= 1;
      if (!entry) return;
      entry.uses -= 1;
      if (entry.uses === 0 && entry.isLeaving) held.delete(adapter);
    });
    const isUnframed = this.isUnframed(request);
    if (isUnframed) response.useChunkedEncodingByDefault = false;
    this.answerHead(request, response, 200, {
      ...(isUnframed && { Connection: 'close' }),
      'Content-Type': 'text/event-stream',
      'X-Chervilseam-Server-Stamp': `stamp.${this.id}.${id}`,
    });
    response.flushHeaders();
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let number = first; number <= this.eventCount; number += 1) {
      await new Promise((done) => setTimeout(done, this.eventMs));
      if (run.isDropped) return;
      response.write(`id: ${number}\ndata: token ${number}\n\n`);
      this.onEvent({ id, number, isUnframed });
    }
    run.endMs = performance.now();
    response.end();
  }
}
