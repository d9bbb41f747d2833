import { Writable } from 'node:stream';
import { LogFollower, planChanges } from '@chervilseam/cli';
import { Daemon, parseSettings } from '@chervilseam/daemon';
import { formatFinding, keyDigestOf, parseConfig } from '@chervilseam/model';
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
/** Timeout of calls to the log and the instance list, in milliseconds. */
const CALL_TIMEOUT_MS = 2_000;
/** Time between two checks of a condition that is waited for, in milliseconds. */
const WAIT_POLL_INTERVAL_MS = 20;
const WAIT_TIMEOUT_MS = 15_000;
const CALLER_KEY = 'embedded-caller-key';
const OPERATOR_KEY = 'embedded-operator-key';
const PEER_KEY = 'embedded-peer-key-for-loopback';

const domainName = (index: number): string => `domain-${index + 1}`;

const createDiscardingStream = (): Writable =>
  new Writable({
    write: (_chunk, _encoding, done) => done(),
  });

type ListedInstance = Parameters<InstanceListStandIn['set']>[0][number];

/**
 * Daemons and stand-ins that run in this process and communicate over HTTP, TCP and UDP on loopback.
 * Tests inject faults into the stand-ins and inspect what these received.
 */
export class Deployment {
  /** The platform's log. */
  readonly log = new LogStandIn();
  /** The platform's list of instances. */
  readonly list: InstanceListStandIn;
  /** Engine stand-ins by endpoint name. */
  readonly engines = new Map<string, EngineStandIn>();
  /** Service stand-ins by endpoint name. */
  readonly services = new Map<string, ServiceStandIn>();
  /** Daemons that have not been killed or stopped, by instance name. */
  readonly daemons = new Map<string, Daemon>();
  /** API key of the one configured caller. */
  readonly callerKey = CALLER_KEY;
  /** Key for the daemons' operator port. */
  readonly operatorKey = OPERATOR_KEY;
  readonly #options: DeploymentOptions;
  /** Entries of the instance list by name; a killed or stopped daemon stays on it. */
  readonly #listed = new Map<string, ListedInstance>();
  /** Number of configuration records published so far; makes their ids unique. */
  #recordCount = 0;

  private constructor(options: DeploymentOptions) {
    this.#options = options;
    this.list = new InstanceListStandIn(options.listLagMs ?? 0);
  }

  /**
   * Starts the stand-ins, publishes the configuration, starts the daemons one after another and waits
   * until they have discovered each other and all engines.
   *
   * @param options - instances, endpoints and settings
   * @returns the running deployment
   */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const deployment = new Deployment(options);
    await deployment.#startStandIns();
    await deployment.apply(deployment.#configToml());
    const { instanceCount } = options;
    for (let index = 0; index < instanceCount; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- daemons start one after another
      await deployment.startDaemon(`instance-${index + 1}`, index);
    }
    await deployment.waitUntilReady();
    return deployment;
  }

  /** Base URL of a daemon's port for callers. */
  callerUrl(name = 'instance-1'): string {
    return `http://${HOST}:${this.#daemon(name).ports.callerPort}`;
  }

  /** Base URL of a daemon's port for operators. */
  operatorUrl(name = 'instance-1'): string {
    return `http://${HOST}:${this.#daemon(name).ports.operatorPort}`;
  }

  /**
   * Starts a daemon and adds it to the platform's list of instances.
   *
   * @param name - name of the instance
   * @param index - number of the instance, from 0; modulo the number of failure domains, it is the
   *   index of the instance's domain
   * @returns the daemon, ready to serve
   */
  async startDaemon(name: string, index: number): Promise<Daemon> {
    const failureDomain = domainName(index % (this.#options.domainCount ?? 1));
    const daemon = this.#createDaemon(name, failureDomain);
    await daemon.start();
    this.daemons.set(name, daemon);
    const { peerPort } = daemon.ports;
    const location = { host: HOST, peerPort, failureDomain, region: 'local', size: 1 };
    this.#listed.set(name, { name, role: 'entry', state: 'live', ...location });
    this.list.set([...this.#listed.values()]);
    return daemon;
  }

  /**
   * Stops a daemon at once, as a crash of its process would. It stays on the instance list.
   *
   * @param name - name of the instance
   */
  killDaemon(name: string): void {
    this.#daemon(name).kill();
    this.daemons.delete(name);
  }

  /**
   * Shuts a daemon down gracefully. It stays on the instance list.
   *
   * @param name - name of the instance
   */
  async stopDaemon(name: string): Promise<void> {
    const daemon = this.#daemon(name);
    await daemon.stop();
    this.daemons.delete(name);
  }

  /**
   * Publishes a configuration change, as `chervilseam apply` does.
   *
   * @param toml - configuration objects
   * @returns offset of the accepted record
   * @throws VError when the objects are invalid or the record is rejected
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
    if (!decision.isAccepted) throw new verror.VError('change rejected: %s', decision.reason);
    return decision.offset;
  }

  /**
   * Polls a condition until it holds.
   *
   * @param goal - what is waited for, for the error
   * @param condition - the condition
   * @throws VError when it does not hold within `WAIT_TIMEOUT_MS`
   */
  // eslint-disable-next-line class-methods-use-this -- tests call it on their deployment
  async waitFor(goal: string, condition: () => boolean | Promise<boolean>): Promise<void> {
    const endMs = performance.now() + WAIT_TIMEOUT_MS;
    // eslint-disable-next-line no-await-in-loop -- polls in sequence
    while (!(await condition())) {
      if (performance.now() > endMs) throw new verror.VError('timed out waiting for: %s', goal);
      // eslint-disable-next-line no-await-in-loop -- polls in sequence
      await Deployment.sleep(WAIT_POLL_INTERVAL_MS);
    }
  }

  /** Waits until every daemon sees all others alive and has a state of every engine. */
  async waitUntilReady(): Promise<void> {
    await this.waitFor('every daemon has discovered all daemons and engines', () =>
      [...this.daemons.values()].every((daemon) => this.#hasDiscoveredAll(daemon)),
    );
  }

  /** @param durationMs - time to wait, in milliseconds */
  static sleep(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, durationMs);
    });
  }

  /**
   * Sends a request as the configured caller.
   *
   * @param path - path of the URL
   * @param options - instance (`instance-1` by default), method (`POST` by default when there is a
   *   body, else `GET`), JSON body, headers and abort signal
   * @returns the response
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

  /** Kills all daemons and stand-ins at once. */
  stop(): void {
    this.daemons.forEach((daemon) => daemon.kill());
    [this.log, this.list, ...this.engines.values(), ...this.services.values()].forEach((standIn) =>
      standIn.kill(),
    );
  }

  #daemon(name: string): Daemon {
    const daemon = this.daemons.get(name);
    if (!daemon) throw new verror.VError('no running daemon named %s', name);
    return daemon;
  }

  #hasDiscoveredAll(daemon: Daemon): boolean {
    const aliveMembers = daemon.members.filter(({ state }) => state === 'alive');
    const hasMembers = aliveMembers.length >= this.daemons.size;
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
    const digest = keyDigestOf(CALLER_KEY);
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
    // A `platform` section in the options replaces the one above, and with it both URLs.
    Object.assign(sections.platform, { logUrl: this.log.url, instanceListUrl: this.list.url });
    const lines = Object.entries(sections).flatMap(([section, values]) => [
      `[${section}]`,
      ...Object.entries(values).map(([key, value]) => `${key} = ${JSON.stringify(value)}`),
    ]);
    const { settings, findings } = parseSettings('embedded', lines.join('\n'));
    if (!settings) throw new verror.VError('%s', findings.map(formatFinding).join('\n'));
    const secrets = { peerKey: PEER_KEY, operatorKey: OPERATOR_KEY };
    return new Daemon(settings, secrets, this.#options.logStream ?? createDiscardingStream());
  }
}
