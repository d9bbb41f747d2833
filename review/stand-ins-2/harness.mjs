/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-restricted-syntax: off, no-param-reassign: off, n/no-sync: off, n/no-process-exit: off, no-bitwise: off, no-plusplus: off, no-continue: off, max-classes-per-file: off */
// What the scripts of the cases have in common: the record, the clients, and the end of all processes.
import { Agent, request as httpRequest } from 'node:http';
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import { controlOf, Instance, loopbackHost } from './instance.mjs';
import { Store } from './store.mjs';

export const isTroubled = process.env.TROUBLE !== '0';
export const HOST = 'desk.example';

/** Exit codes of a script. */
export const EXIT = { held: 0, broken: 1, notRun: 2 };

/** Configuration with the limits of a small deployment. */
export const configOf = (version, routes, services) => ({
  Version: version,
  Routes: routes.map((route) => ({ Host: HOST, Priority: 0, MaxAttempts: 2, ...route })),
  Services: services.map((service) => ({ HealthPath: '/health', MaxConns: 96, ...service })),
  Limits: {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 65_536,
    HeaderTimeoutMs: 3_000,
    IdleTimeoutMs: 15_000,
  },
});

export class Harness {
  /** @param recordUrl - file that the run is recorded in */
  constructor(recordUrl) {
    this.record = recordUrl.pathname;
    this.startedMs = performance.now();
    writeFileSync(this.record, `TROUBLE=${isTroubled ? 1 : 0}\n`);
    this.folder = mkdtempSync(`${tmpdir()}/review-`);
    this.store = new Store();
    this.servers = [];
    this.instances = [];
    this.results = [];
    this.nextId = 0;
    ['SIGTERM', 'SIGINT', 'SIGHUP'].forEach((name) =>
      process.on(name, () => this.end(EXIT.notRun, `ended by ${name}`)),
    );
    process.on('uncaughtException', (error) =>
      this.end(EXIT.notRun, `script failed: ${error.stack}`),
    );
  }

  /** Time since the start of the script, in milliseconds. */
  get nowMs() {
    return performance.now() - this.startedMs;
  }

  note(text) {
    appendFileSync(this.record, `${(this.nowMs / 1000).toFixed(3)} ${text}\n`);
  }

  /** Starts the store, the servers and the instances, and waits until they are ready. */
  async start({ config, servers, instanceCount = 1, settings = {} }) {
    await this.store.start();
    this.servers = servers;
    await Promise.all(servers.map((server) => server.start()));
    this.store.put('keyed.op', 'config', config);
    servers.forEach((server) => this.store.put('keyed.servers', server.id, server.entry()));
    const indexes = Array.from({ length: instanceCount }, (_, index) => index);
    const instances = indexes.map((index) => this.spawn(index, instanceCount, settings));
    await Promise.all(instances.map((instance) => this.untilReady(instance)));
    this.note('all instances are ready');
  }

  /**
   * Starts an instance.
   *
   * @param index - its index, which its loopback address follows from
   * @param count - number of instances; their addresses are its seeds
   * @param settings - settings that differ from those of the other cases
   */
  spawn(index, count, settings = {}) {
    const instance = new Instance(`front-${index + 1}`, loopbackHost(index), this.folder);
    const seeds = Array.from({ length: Math.min(3, count) }, (_, at) =>
      controlOf(loopbackHost(at)),
    );
    instance.onExit = (code, signal) =>
      this.note(`process ${instance.name} ended by itself: code ${code} signal ${signal}`);
    this.instances[index] = instance;
    instance.start(this.store.address, seeds, settings);
    return instance;
  }

  async untilReady(instance) {
    if (await instance.untilReady()) return;
    this.end(EXIT.notRun, `${instance.name} did not become ready`);
  }

  /**
   * Sends one request and notes its answer.
   *
   * @returns the result: status (0 without a head), whether the answer is complete, and the body
   */
  call(
    instance,
    agent,
    { path, method = 'POST', headers = {}, body = 'x'.repeat(200), deadlineMs = 4_000, onData },
  ) {
    this.nextId += 1;
    const id = headers['X-Chervilseam-Request-Id'] ?? `r-${this.nextId}`;
    const sentMs = this.nowMs;
    return new Promise((resolve) => {
      let isKept = false;
      let text = '';
      let isOver = false;
      const finish = (response, error) => {
        if (isOver) return;
        isOver = true;
        const result = {
          id,
          path,
          sentMs,
          isKept,
          body: text,
          error,
          endedMs: this.nowMs,
          status: response?.statusCode ?? 0,
          headers: response?.headers ?? {},
          isComplete: response?.complete ?? false,
        };
        this.results.push(result);
        const { status, isComplete } = result;
        this.note(
          `client ${id} ${path} sent ${(sentMs / 1000).toFixed(3)} status ${status} complete ${isComplete} kept ${isKept} bytes ${text.length} ${error ?? ''}`,
        );
        resolve(result);
      };
      const request = httpRequest(
        {
          agent,
          host: instance.host,
          port: instance.frontPort,
          method,
          path,
          headers: {
            Host: HOST,
            'X-Chervilseam-Request-Id': id,
            'X-Chervilseam-Deadline-Ms': `${deadlineMs}`,
            ...headers,
          },
        },
        (response) => {
          response.on('data', (chunk) => {
            text += chunk.toString('latin1');
            onData?.(chunk, response);
          });
          response.on('error', () => {});
          response.on('close', () => finish(response));
        },
      );
      request.on('socket', () => {
        isKept = request.reusedSocket;
      });
      request.on('error', (error) => finish(undefined, error.code));
      request.end(body);
    });
  }

  /** A client that sends one request after the other on a kept channel until a time. */
  async client(instance, options, { untilMs, pauseMs }) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (this.nowMs < untilMs) {
      const { status } = await this.call(instance, agent, options);
      await sleep(status === 0 ? 500 : pauseMs * (0.75 + Math.random() / 2));
    }
    agent.destroy();
  }

  /** All that arrived at the servers, by request id. */
  get arrivals() {
    const byId = new Map();
    this.servers.forEach(({ arrivals }) =>
      arrivals.forEach((arrival) =>
        byId.set(arrival.id, [...(byId.get(arrival.id) ?? []), arrival]),
      ),
    );
    return byId;
  }

  /** Ends all processes and the script. */
  end(code, text) {
    this.note(`end: ${text}`);
    this.instances.forEach((instance) => instance.stop());
    this.servers.forEach((server) => server.stop());
    this.store.stop();
    process.stdout.write(`${text}\n`);
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
    process.exit(code);
  }
}
