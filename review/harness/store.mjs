/* eslint-disable */
// Stand-in of the platform's store: keyed topics, one consumer group, and the calls that the program makes.
import { createServer } from 'node:http';

const encode = ({ key, value }) => {
  const prefix = Buffer.alloc(5);
  prefix.writeUInt32BE(1 + key.length + value.length, 0);
  prefix.writeUInt8(key.length, 4);
  return Buffer.concat([prefix, Buffer.from(key), value]);
};

const readAll = async (request) => {
  const parts = [];
  for await (const part of request) parts.push(part);
  return Buffer.concat(parts);
};

export class Store {
  // The topics, each as the list of its records; offsets are indexes.
  #topics = new Map();
  #waiting = new Set();
  #members = new Map();
  #owners = new Map();
  #generation = 0;
  #partCount;
  #server;
  // Whether all calls are refused with 503.
  isDown = false;
  onJoin = () => {};

  constructor(partCount, topic = 'engine-shares') {
    this.#partCount = partCount;
    this.topic = topic;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
  }

  async start(host, port = 0) {
    await new Promise((resolve) => this.#server.listen(port, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  put(topic, key, value) {
    const records = this.#topics.get(topic) ?? [];
    records.push({
      key,
      value: value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value)),
    });
    this.#topics.set(topic, records);
    this.#waiting.forEach((wake) => wake());
  }

  async #handle(request, response) {
    const body = await readAll(request);
    if (this.isDown) {
      response.writeHead(503).end();
      return;
    }
    const url = new URL(request.url, 'http://store');
    const calls = {
      '/chervilseam/log-read': () => this.#read(url.searchParams),
      '/chervilseam/log-newest': () => this.#newest(url.searchParams),
      '/chervilseam/log-join': () => this.#join(JSON.parse(body)),
      '/chervilseam/log-leave': () => this.#leave(JSON.parse(body)),
      '/chervilseam/log-owners': () => [
        200,
        JSON.stringify({
          rows: [...this.#owners].map(([part, member]) => [this.topic, part, member, 0]),
        }),
      ],
    };
    const call = calls[url.pathname];
    const [status, answer] = call ? await call() : [404, ''];
    response.writeHead(status, { 'Content-Length': Buffer.byteLength(answer) });
    response.end(answer);
  }

  async #read(query) {
    const topic = query.get('Topic');
    const from = Number(query.get('From'));
    const endMs = performance.now() + Number(query.get('WaitMs') ?? 0);
    const records = () => this.#topics.get(topic) ?? [];
    while (records().length <= from && performance.now() < endMs) {
      await new Promise((resolve) => {
        const timer = setTimeout(done, Math.max(1, endMs - performance.now()));
        const waiting = this.#waiting;
        function done() {
          clearTimeout(timer);
          waiting.delete(done);
          resolve();
        }
        waiting.add(done);
      });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(records().length), 0);
    return [200, Buffer.concat([head, ...records().slice(from).map(encode)])];
  }

  #newest(query) {
    const records = this.#topics.get(query.get('Topic')) ?? [];
    const newest = new Map(records.map(({ key, value }, index) => [key, { value, index }]));
    const items = [...newest]
      .filter(([, { value }]) => value.length > 0)
      .map(([Key, { value, index }]) => ({ Key, Value: value.toString('base64'), Offset: index }));
    return [200, JSON.stringify({ items, HasMore: false, End: records.length })];
  }

  // Spreads the partitions evenly and moves no more of them than needed. A partition that is taken from a
  // member goes to another one only when that member has joined with the new generation, has left or has
  // expired.
  #deal() {
    const names = [...this.#members.keys()].sort();
    if (names.length === 0) return;
    const most = Math.ceil(this.#partCount / names.length);
    const wanted = new Map(names.map((name) => [name, []]));
    const open = [];
    for (let part = 0; part < this.#partCount; part += 1) {
      const owner = this.#owners.get(part);
      const list = owner === undefined ? undefined : wanted.get(owner);
      if (list && list.length < most) list.push(part);
      else open.push(part);
    }
    open.forEach((part) => {
      const name = names.reduce((best, one) =>
        wanted.get(one).length < wanted.get(best).length ? one : best,
      );
      wanted.get(name).push(part);
    });
    this.wanted = wanted;
  }

  #expire() {
    const nowMs = performance.now();
    const gone = [...this.#members].filter(([, { expiryMs }]) => expiryMs < nowMs);
    gone.forEach(([name]) => this.#remove(name));
  }

  #remove(name) {
    if (!this.#members.delete(name)) return;
    this.#owners.forEach((owner, part) => owner === name && this.#owners.delete(part));
    this.#generation += 1;
    this.#deal();
  }

  #join({ Member, TtlMs, Generation }) {
    this.#expire();
    const known = this.#members.get(Member);
    this.#members.set(Member, { expiryMs: performance.now() + TtlMs });
    if (!known) {
      this.#generation += 1;
      this.#deal();
    }
    const mine = this.wanted.get(Member) ?? [];
    // Partitions that this member is to give up: it does so by joining with this generation.
    if (Generation === this.#generation) {
      this.#owners.forEach((owner, part) => {
        if (owner === Member && !mine.includes(part)) this.#owners.delete(part);
      });
    }
    mine.forEach((part) => {
      if (!this.#owners.has(part)) this.#owners.set(part, Member);
    });
    const parts = [...this.#owners]
      .filter(([part, owner]) => owner === Member && mine.includes(part))
      .map(([part]) => [this.topic, part, 0]);
    this.onJoin({ Member, Generation: this.#generation, parts: parts.map(([, part]) => part) });
    return [200, JSON.stringify({ Generation: this.#generation, parts })];
  }

  #leave({ Member }) {
    this.#remove(Member);
    return [200, '{}'];
  }
}
