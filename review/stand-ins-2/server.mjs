/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-restricted-syntax: off, no-param-reassign: off, n/no-sync: off, n/no-process-exit: off, no-bitwise: off, no-plusplus: off, no-continue: off, max-classes-per-file: off */
// Stand-in of a server ("engine"): a plain service, as PROTOCOL.md describes it. A hook can take over single requests.
import { createServer } from 'node:http';
import { once } from 'node:events';

const readAll = async (request) => {
  const parts = [];
  for await (const part of request) parts.push(part);
  return Buffer.concat(parts);
};

export class SoundServer {
  /**
   * @param id - its id
   * @param options - service, zone, slots, time of work, and `onRun`, which may take a request over by returning true
   */
  constructor(id, { service, zone = 'zone-a', slots = 6, workMs = 80, models, onRun } = {}) {
    Object.assign(this, { id, service, zone, slots, workMs, models, onRun });
    this.born = Date.now();
    this.sequence = 0;
    this.orderCount = 0;
    /** All that arrived, in order. */
    this.arrivals = [];
    this.sockets = new Set();
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 15_000;
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
      ...(this.models && {
        Models: this.models.map((Name) => ({ Name, Version: 1, Adapters: [] })),
      }),
    };
  }

  async #handle(request, response) {
    const body = await readAll(request);
    const { headers } = request;
    if (request.url === '/chervilseam/report') {
      const models = (this.models ?? []).map((Name) => ({ Name, Version: 1, Adapters: [] }));
      const report = { Stage: 'unified', Models: models, Busy: false, Sequence: this.orderCount };
      response.end(JSON.stringify({ born: this.born, ...report, Queued: 0, Active: 0 }));
      return;
    }
    const id = headers['x-chervilseam-request-id'];
    const expected = headers['x-chervilseam-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {
        'X-Chervilseam-Request-Id': id,
        'X-Chervilseam-Instance-Id': this.id,
      });
      response.end();
      return;
    }
    const arrival = { id, atMs: performance.now(), server: this.id, body: body.length };
    this.arrivals.push(arrival);
    if (this.onRun?.(request, response, arrival)) return;
    setTimeout(() => {
      if (response.destroyed) return;
      const answer = Buffer.alloc(800, 'a');
      response.writeHead(200, {
        'X-Chervilseam-Request-Id': id,
        'X-Chervilseam-Server-Stamp': `stamp-${this.id}`,
        'Content-Length': answer.length,
      });
      response.end(answer);
    }, this.workMs);
  }
}
