import { createHash } from 'node:crypto';
import { Writable } from 'node:stream';
import { LogFollower, planChanges } from '@chervilseam/cli';
import { Daemon, parseSettings } from '@chervilseam/daemon';
import { formatFinding, parseConfig } from '@chervilseam/model';
import { HttpLog } from '@chervilseam/ports';
import {
  EngineStandIn,
  InstanceListStandIn,
  LogStandIn,
  ServiceStandIn,
} from '@chervilseam/stand-ins';
import verror from 'verror';
import type { DeploymentOptions } from './deployment-options.js';

const HOST = '127.0.0.1';
const CALL_TIMEOUT_MS = 2_000;
const WAIT_STEP_MS = 20;
const WAIT_MAX_MS = 15_000;
const CALLER_KEY = 'embedded-caller-key';
const OPERATOR_KEY = 'embedded-operator-key';
const PEER_KEY = 'embedded-peer-key-for-loopback';

const domainName = (index: number): string => `domain-${index + 1}`;

const nowhere = (): Writable =>
  new Writable({
    write: (_chunk, _encoding, done) => done(),
  });

type Listed = Parameters<InstanceListStandIn['set']>[0][number];

/** Daemons and stand-ins in one process, on loopback, over real HTTP, TCP and UDP. */
export class Deployment {
  readonly log = new LogStandIn();
  readonly list: InstanceListStandIn;
  readonly engines = new Map<string, EngineStandIn>();
  readonly services = new Map<string, ServiceStandIn>();
  readonly daemons = new Map<string, Daemon>();
  /** Key that callers use. */
  readonly callerKey = CALLER_KEY;
  readonly operatorKey = OPERATOR_KEY;
  readonly #options: DeploymentOptions;
  readonly #listed = new Map<string, Listed>();
  #recordCount = 0;

  private constructor(options: DeploymentOptions) {
    this.#options = options;
    this.list = new InstanceListStandIn(options.listLagMs ?? 0);
  }

  /**
   * Starts everything and waits until each daemon is ready and knows what is resident.
   *
   * @param options - what the deployment is made of
   * @returns the running deployment
   */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const deployment = new Deployment(options);
    await deployment.#startStandIns();
    await deployment.apply(deployment.#configToml());
    const { instanceCount } = options;
    for (let index = 0; index < instanceCount; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- ports are taken one by one
      await deployment.startDaemon(`instance-${index + 1}`, index);
    }
    await deployment.waitUntilReady();
    return deployment;
  }

  /** Base address for callers of one daemon. */
  callerUrl(name = 'instance-1'): string {
    return `http://${HOST}:${this.#daemon(name).ports.callerPort}`;
  }

  /** Base address for operators of one daemon. */
  operatorUrl(name = 'instance-1'): string {
    return `http://${HOST}:${this.#daemon(name).ports.operatorPort}`;
  }

  /**
   * Starts a daemon and puts it on the platform's list.
   *
   * @param name - name of the instance
   * @param index - decides its failure domain
   */
  async startDaemon(name: string, index: number): Promise<Daemon> {
    const failureDomain = domainName(index % (this.#options.domainCount ?? 1));
    const daemon = this.#createDaemon(name, failureDomain);
    await daemon.start();
    this.daemons.set(name, daemon);
    const { peerPort } = daemon.ports;
    const where = { host: HOST, peerPort, failureDomain, region: 'local', size: 1 };
    this.#listed.set(name, { name, role: 'entry', state: 'live', ...where });
    this.list.set([...this.#listed.values()]);
    return daemon;
  }

  /**
   * Kills a daemon, as the death of its process would; the list does not learn of it.
   *
   * @param name - name of the instance
   */
  killDaemon(name: string): void {
    this.#daemon(name).kill();
    this.daemons.delete(name);
  }

  /**
   * Stops a daemon in good order.
   *
   * @param name - name of the instance
   */
  async stopDaemon(name: string): Promise<void> {
    const daemon = this.#daemon(name);
    await daemon.stop();
    this.daemons.delete(name);
  }

  /**
   * Publishes configuration, as `chervilseam apply` does.
   *
   * @param toml - objects
   * @throws VError when there are findings or the record is rejected
   */
  async apply(toml: string): Promise<number> {
    const { objects, findings } = parseConfig('embedded.toml', toml);
    if (findings.length > 0) throw new verror.VError('%s', findings.map(formatFinding).join('\n'));
    const log = new HttpLog(this.log.url, CALL_TIMEOUT_MS);
    const follower = new LogFollower(log);
    await follower.catchUp();
    const changes = planChanges(follower.fold.objects, objects, false);
    this.#recordCount += 1;
    const id = `embedded-${this.#recordCount}`;
    const decision = await follower.publish({ type: 'config', id, author: 'embedded', changes });
    await log.close();
    if (!decision.isAccepted) throw new verror.VError('rejected: %s', decision.reason);
    return decision.offset;
  }

  /**
   * Waits until something is so.
   *
   * @param text - what is waited for
   * @param condition - whether it is so
   * @throws VError when it is not so after a long while
   */
  // eslint-disable-next-line class-methods-use-this -- tests ask their deployment
  async waitFor(text: string, condition: () => boolean | Promise<boolean>): Promise<void> {
    const endMs = performance.now() + WAIT_MAX_MS;
    // eslint-disable-next-line no-await-in-loop -- this is a wait
    while (!(await condition())) {
      if (performance.now() > endMs) throw new verror.VError('waited in vain: %s', text);
      // eslint-disable-next-line no-await-in-loop -- this is a wait
      await Deployment.sleep(WAIT_STEP_MS);
    }
  }

  /** Waits until every daemon knows every other and every engine's residents. */
  async waitUntilReady(): Promise<void> {
    await this.waitFor('every daemon knows all', () =>
      [...this.daemons.values()].every((daemon) => this.#knowsAll(daemon)),
    );
  }

  /** @param durationMs - in milliseconds */
  static sleep(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, durationMs);
    });
  }

  /**
   * Sends a caller's request.
   *
   * @param path - path at the instance
   * @param options - instance, method, JSON body and headers
   */
  call(
    path: string,
    options: {
      readonly instance?: string;
      readonly method?: string;
      readonly body?: unknown;
      readonly headers?: Readonly<Record<string, string>>;
      readonly signal?: AbortSignal;
    } = {},
  ): Promise<Response> {
    const { instance, method, body, headers, signal } = options;
    return fetch(`${this.callerUrl(instance)}${path}`, {
      method: method ?? (body === undefined ? 'GET' : 'POST'),
      headers: {
        authorization: `Bearer ${CALLER_KEY}`,
        'content-type': 'application/json',
        ...headers,
      },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal,
    });
  }

  /** Kills everything. */
  stop(): void {
    this.daemons.forEach((daemon) => daemon.kill());
    [this.log, this.list, ...this.engines.values(), ...this.services.values()].forEach((standIn) =>
      standIn.kill(),
    );
  }

  #daemon(name: string): Daemon {
    const daemon = this.daemons.get(name);
    if (!daemon) throw new verror.VError('no daemon %s', name);
    return daemon;
  }

  #knowsAll(daemon: Daemon): boolean {
    const known = daemon.members.filter(({ state }) => state === 'alive');
    const hasMembers = known.length >= this.daemons.size;
    return hasMembers && [...this.engines.keys()].every((name) => daemon.knowsEndpoint(name));
  }

  async #startStandIns(): Promise<void> {
    await this.log.listen();
    await this.list.listen();
    (this.#options.engines ?? []).forEach(({ name, engine }) => {
      this.engines.set(name, new EngineStandIn(engine));
    });
    (this.#options.services ?? []).forEach(({ name }) => {
      this.services.set(name, new ServiceStandIn());
    });
    const standIns = [...this.engines.values(), ...this.services.values()];
    await Promise.all(standIns.map((standIn) => standIn.listen()));
  }

  #configToml(): string {
    const digest = createHash('sha256').update(CALLER_KEY).digest('hex');
    const engines = (this.#options.engines ?? []).map(({ name, domain, concurrencyMax, engine }) =>
      [
        '[[endpoint]]',
        `name = "${name}"`,
        'driver = "engine"',
        `url = "${this.engines.get(name)?.url}"`,
        `failureDomain = "${domainName(domain)}"`,
        `memoryBytes = ${engine?.memoryBytes ?? 80e9}`,
        `checksFencing = ${engine?.checksFencing ?? true}`,
        `concurrencyMax = ${concurrencyMax ?? 16}`,
      ].join('\n'),
    );
    const services = (this.#options.services ?? []).map(
      ({ name, domain, service, concurrencyMax }) =>
        [
          '[[endpoint]]',
          `name = "${name}"`,
          'driver = "service"',
          `service = "${service}"`,
          `url = "${this.services.get(name)?.url}"`,
          `failureDomain = "${domainName(domain)}"`,
          `concurrencyMax = ${concurrencyMax ?? 16}`,
        ].join('\n'),
    );
    const caller = `[[caller]]\nname = "embedded"\nkeySha256 = "${digest}"\nrequestsPerSecond = 1e6`;
    return [this.#options.configToml ?? '', caller, ...engines, ...services].join('\n\n');
  }

  #createDaemon(name: string, failureDomain: string): Daemon {
    const sections = {
      instance: { name, failureDomain },
      listen: { host: HOST, callerPort: 0, operatorPort: 0, peerPort: 0 },
      platform: {
        logUrl: this.log.url,
        instanceListUrl: this.list.url,
        configPollMs: 100,
        listPollMs: 200,
        callTimeoutMs: CALL_TIMEOUT_MS,
      },
      secrets: {},
      membership: { periodMs: 100, pingTimeoutMs: 50, suspicionMs: 1_500 },
      shutdown: { noticeMs: 100 },
      placement: { loadsPerSecond: 20, longestOrderDelayMs: 2_000 },
      ...this.#options.settings,
    };
    Object.assign(sections.platform, { logUrl: this.log.url, instanceListUrl: this.list.url });
    const lines = Object.entries(sections).flatMap(([section, values]) => [
      `[${section}]`,
      ...Object.entries(values).map(([key, value]) => `${key} = ${JSON.stringify(value)}`),
    ]);
    const { settings, findings } = parseSettings('embedded', lines.join('\n'));
    if (!settings) throw new verror.VError('%s', findings.map(formatFinding).join('\n'));
    const secrets = { peerKey: PEER_KEY, operatorKey: OPERATOR_KEY };
    return new Daemon(settings, secrets, this.#options.logStream ?? nowhere());
  }
}
