/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-restricted-syntax: off, no-param-reassign: off, n/no-sync: off, n/no-process-exit: off, no-bitwise: off, no-plusplus: off, no-continue: off, max-classes-per-file: off */
// Stand-in of the platform's store: the keyed topics and the group calls that PROTOCOL.md describes.
import { createServer } from 'node:http';
import { once } from 'node:events';

const PARTS = 12;
const RETENTION_MS = 300_000;

const encodeRecord = (key, value) => {
  const prefix = Buffer.alloc(5);
  prefix.writeUInt32BE(1 + key.length + value.length, 0);
  prefix.writeUInt8(key.length, 4);
  return Buffer.concat([prefix, Buffer.from(key), value]);
};

const bodyOf = async (request) => {
  const parts = [];
  for await (const part of request) parts.push(part);
  return Buffer.concat(parts).toString('utf8');
};

export class Store {
  constructor() {
    this.topics = new Map();
    this.members = new Map();
    this.generation = 0;
    this.turn = 0;
    this.waiting = new Set();
    this.calls = 0;
    /** Called with each call and the address it came from; a returned status is answered in its place. */
    this.onCall = () => undefined;
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
  }

  async start(host = '127.0.0.1') {
    this.server.listen(0, host);
    await once(this.server, 'listening');
    this.address = `${host}:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  put(topic, key, value) {
    const records = this.topics.get(topic) ?? [];
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    records.push({ key, value: bytes, atMs: Date.now() });
    this.topics.set(topic, records);
    [...this.waiting].forEach((wake) => wake());
  }

  async #handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const text = await bodyOf(request);
    this.calls += 1;
    const verdict = await this.onCall(url, request.socket.remoteAddress, text);
    if (verdict === 'silent') return;
    if (typeof verdict === 'number') {
      response.writeHead(verdict).end();
      return;
    }
    const [status, body] = await this.#answer(url, text);
    // The call was executed and its answer is lost: nothing more comes on this channel.
    if (verdict === 'lost') return;
    response.writeHead(status).end(body);
    if (verdict?.onAnswered) verdict.onAnswered();
  }

  async #answer(url, text) {
    const query = url.searchParams;
    switch (url.pathname) {
      case '/chervilseam/log-read':
        return this.#read(query);
      case '/chervilseam/log-newest':
        return this.#newest(query);
      case '/chervilseam/log-join':
        return this.#join(JSON.parse(text));
      case '/chervilseam/log-leave':
        return this.#leave(JSON.parse(text));
      case '/chervilseam/log-owners':
        this.#expire();
        return [200, JSON.stringify({ rows: this.#rows() })];
      default:
        return [404, ''];
    }
  }

  async #read(query) {
    const topic = query.get('Topic');
    const from = Number(query.get('From'));
    const endMs = Date.now() + Number(query.get('WaitMs') ?? 0);
    const records = () => this.topics.get(topic) ?? [];
    if (from > records().length) return [410, JSON.stringify({ First: 0 })];
    while (records().length <= from && Date.now() < endMs) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, endMs - Date.now());
        this.waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
      this.waiting.clear();
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(records().length), 0);
    const page = records()
      .slice(from)
      .map(({ key, value }) => encodeRecord(key, value));
    return [200, Buffer.concat([header, ...page])];
  }

  #newest(query) {
    const records = this.topics.get(query.get('Topic')) ?? [];
    const newest = new Map(records.map(({ key, value }, offset) => [key, { value, offset }]));
    const items = [...newest]
      .filter(([key, { value }]) => value.length > 0 && key > (query.get('after') ?? ''))
      .sort(([left], [right]) => (left < right ? -1 : 1))
      .map(([Key, { value, offset }]) => ({
        Key,
        Value: value.toString('base64'),
        Offset: offset,
      }));
    return [200, JSON.stringify({ items, HasMore: false, End: records.length })];
  }

  #expire() {
    const nowMs = Date.now();
    let changed = false;
    this.members.forEach(({ untilMs }, member) => {
      if (untilMs >= nowMs) return;
      this.members.delete(member);
      changed = true;
    });
    if (changed) this.#deal();
  }

  // Deals the partitions evenly: those of members that remain stay where they are, as far as that is even.
  #deal() {
    this.generation += 1;
    const names = [...this.members.keys()].sort();
    this.owners = new Map();
    for (let part = 0; part < PARTS && names.length > 0; part += 1) {
      this.owners.set(part, names[(part + this.turn) % names.length]);
    }
  }

  /** Reassigns all partitions at once, without any request. */
  rebalance(shift = 1) {
    this.turn += shift;
    this.#deal();
  }

  #rows() {
    return [...(this.owners ?? [])].map(([part, member]) => ['engine-shares', part, member, 0]);
  }

  #join({ Member, TtlMs }) {
    this.#expire();
    const isNew = !this.members.has(Member);
    this.members.set(Member, { untilMs: Date.now() + TtlMs });
    if (isNew) this.#deal();
    const parts = [...this.owners]
      .filter(([, member]) => member === Member)
      .map(([part]) => ['engine-shares', part, 0]);
    return [200, JSON.stringify({ Generation: this.generation, parts })];
  }

  #leave({ Member }) {
    if (this.members.delete(Member)) this.#deal();
    return [200, '{}'];
  }
}

export const storeRetentionMs = RETENTION_MS;
