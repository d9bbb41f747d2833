import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { chooseTarget, Random } from '@chervilseam/decisions';
import type { PartLogger } from '@chervilseam/observe';
import { EndpointPicker } from './dispatch/endpoint-picker.js';
import { RequestRun } from './dispatch/request-run.js';
import type { RunContext } from './dispatch/run-context.js';
import { ServiceBook } from './dispatch/service-book.js';
import { ConfigFeed } from './feed/config-feed.js';
import { EndpointFeed } from './feed/endpoint-feed.js';
import { packedConfig } from './feed/packed-config.js';
import { EndpointRegistry } from './feed/endpoint-registry.js';
import type { GatewayPorts } from './gateway-ports.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { CallerExchange } from './ingress/caller-exchange.js';
import { IngressServer } from './ingress/ingress-server.js';
import { GatewayMetrics } from './observe/gateway-metrics.js';
import { RequestLog } from './observe/request-log.js';
import { EngineFleet } from './owner/engine-fleet.js';
import { GroupMember } from './owner/group-member.js';
import type { EndpointLoad } from './peer/endpoint-load.js';
import type { InstanceState } from './peer/instance-state.js';
import { PeerSync } from './peer/peer-sync.js';
import { PeerTable } from './peer/peer-table.js';

/** Time between two looks at what is due, in milliseconds. */
const TICK_MS = 25;
/** Time between two plans of placement, in milliseconds. */
const PLAN_MS = 300;
/** Loads known from the others are summed up again after this, in milliseconds. */
const OTHERS_MS = 20;
const NO_LOAD: EndpointLoad = { count: 0, unreadTokenCount: 0 };
/** Time after which callers come back to an instance that knows nothing yet, in milliseconds. */
const NOT_READY_RETRY_MS = 500;
/** Time that the balancer needs to take an instance out of rotation, in milliseconds. */
const ROTATION_MS = 2_600;
/** Part of the grace period that is left unused, in milliseconds. */
const GRACE_MARGIN_MS = 700;
/** Time after the start of stopping in which requests are still taken, in milliseconds. */
const LATE_MS = 2_800;
/** Time before the end in which requests that still wait are refused, in milliseconds. */
const REFUSE_MS = 1_000;
const STOP_POLL_MS = 50;

/** An entry instance: takes callers' requests and sends each to an endpoint. */
export class Gateway {
  readonly #settings: GatewaySettings;
  readonly #ports: GatewayPorts;
  readonly #logger: PartLogger;
  readonly #metrics = new GatewayMetrics();
  readonly #random = new Random(Date.now() >>> 0);
  readonly #registry = new EndpointRegistry();
  readonly #peers = new PeerTable();
  readonly #sync: PeerSync;
  readonly #member: GroupMember;
  readonly #config: ConfigFeed;
  readonly #list: EndpointFeed;
  readonly #fleet: EngineFleet;
  readonly #ingress: IngressServer;
  readonly #picker: EndpointPicker;
  readonly #run: RunContext;
  readonly #services: ServiceBook;
  readonly #log: RequestLog;
  readonly #usedAdapters = new Map<string, Set<string>>();
  readonly #startedMs = Date.now();
  readonly #ready: Server;
  readonly #metricsServer: Server;
  #sequence = 0;
  #others: Readonly<Record<string, EndpointLoad>> = {};
  #othersMs = -Infinity;
  #plannedMs = 0;
  #timer: NodeJS.Timeout | undefined;
  #isStopping = false;
  #stoppingMs = 0;
  #isPumpDue = false;
  #wasReady = false;
  #instanceCountMax = 1;

  /**
   * @param settings - what the instance is told
   * @param ports - ways to the outside
   */
  constructor(settings: GatewaySettings, ports: GatewayPorts) {
    this.#settings = settings;
    this.#ports = ports;
    this.#logger = ports.logger('gateway');
    this.#log = new RequestLog(ports.logger('request'), this.#metrics);
    this.#services = new ServiceBook({
      ratio: settings.retryRatio,
      windowMs: settings.retryWindowMs,
      freeCount: settings.retryFreeCount,
    });
    const { nowMs } = Gateway;
    this.#list = new EndpointFeed({
      store: ports.store,
      registry: this.#registry,
      logger: ports.logger('list'),
      nowMs,
      rank: () => this.#rank(),
      relay: (page) => this.#sync.relay(page),
      onNews: () => this.#schedulePump(),
    });
    this.#config = new ConfigFeed({
      store: ports.store,
      logger: ports.logger('config'),
      nowMs,
      onChange: ({ limits, version }) => {
        this.#ingress.apply(limits);
        this.#metrics.configVersion.set(version);
        this.#schedulePump();
      },
    });
    this.#sync = new PeerSync({
      instance: settings.instance,
      secret: settings.peerSecret,
      table: this.#peers,
      logger: ports.logger('peer'),
      nowMs,
      failureDomain: settings.failureDomain,
      isOwner: () => this.#member.shares.length > 0,
      ownState: () => this.#ownState(),
      state: () => this.#state(),
      prepare: (wish) => this.#fleet.prepare(wish),
      config: () => this.#config.config && packedConfig.pack(this.#config.config),
      begin: (endpoint, move) => this.#fleet.begin(endpoint, move),
      onEndpoints: (page) => this.#list.take(page),
      onState: (state) => this.#hear(state),
      onAlone: () => this.#member.lookAround(),
    });
    this.#member = new GroupMember({
      store: ports.store,
      logger: ports.logger('group'),
      nowMs,
      wallMs: Date.now,
      instance: settings.instance,
      host: settings.peerAddress.host,
      port: settings.peerAddress.port,
      ttlMinMs: settings.leaseTtlMinMs,
      handoverMs: settings.handoverMs,
      onMembers: (addresses) => addresses.forEach((address) => this.#sync.addOwner(address)),
      onFailure: () => this.#list.storeFailed(),
    });
    this.#fleet = new EngineFleet({
      settings,
      calls: ports.calls,
      logger: ports.logger('engine'),
      nowMs,
      registry: this.#registry,
      peers: this.#peers,
      member: this.#member,
      sync: this.#sync,
      config: () => this.#config.config,
      awaited: () => this.#services.awaitedModels,
      onOrder: (outcome) => this.#metrics.orders.inc({ outcome }),
    });
    this.#picker = new EndpointPicker({
      failureDomain: settings.failureDomain,
      nowMs,
      randomUnit: () => this.#random.unit(),
      endpointsOf: (service) => this.#registry.ofService(service),
      othersLoad: (id) => this.#othersLoad(id),
      engineState: (id) => this.#fleet.stateOf(id),
      instanceCount: () => this.#instanceCount,
    });
    this.#run = this.#createRunContext();
    this.#ingress = new IngressServer({
      nowMs,
      limits: () => this.#config.config?.limits,
      onRequest: (exchange, body) => this.#take(exchange, body),
    });
    this.#ready = createServer((_, response) => {
      response.statusCode = this.isReady ? 200 : 503;
      response.end();
    });
    this.#metricsServer = createServer((_, response) => {
      void this.#writeMetrics().then((text) => response.end(text));
    });
  }

  /** A clock that only goes forward, in milliseconds. */
  static nowMs(): number {
    return performance.now();
  }

  /** Whether the instance can serve callers. */
  get isReady(): boolean {
    return !this.#isStopping && this.#config.config !== undefined && this.#list.isLoaded;
  }

  /** Starts to listen and to follow the store. */
  async start(): Promise<void> {
    const settings = this.#settings;
    const metricsAddress = { host: settings.host, port: settings.metricsPort };
    await Promise.all([
      this.#ingress.listen(settings.callerAddress),
      this.#sync.listen(settings.peerAddress),
      Gateway.#listen(this.#ready, settings.readyAddress),
      Gateway.#listen(this.#metricsServer, metricsAddress),
    ]);
    settings.seeds.forEach((address) => this.#sync.add(address));
    this.#config.start();
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
    this.#logger.info('started', 'the instance has started', {
      instance: settings.instance,
      failureDomain: settings.failureDomain,
    });
  }

  /**
   * Takes settings that were changed while the instance runs: new seeds are used at once, everything
   * else at the next start.
   *
   * @param settings - the new settings
   */
  reload({ seeds }: Pick<GatewaySettings, 'seeds'>): void {
    seeds.forEach((address) => this.#sync.add(address));
    this.#logger.info('reload', 'seeds are in use, the rest at the next start', {
      seeds: seeds.map(({ host, port }) => `${host}:${port}`),
    });
  }

  /** Stops without cutting a request: out of rotation first, then no more connections. */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const startMs = Gateway.nowMs();
    this.#stoppingMs = startMs;
    const endMs = startMs + this.#settings.graceMs - GRACE_MARGIN_MS;
    this.#logger.info('stopping', 'the instance leaves rotation', {
      open: this.#ingress.openCount,
      connections: this.#ingress.connectionCount,
    });
    this.#ingress.startStopping();
    void this.#member.leave();
    while (Gateway.nowMs() < endMs) {
      const isOutOfRotation = Gateway.nowMs() - startMs > ROTATION_MS;
      if (isOutOfRotation) this.#ingress.closeIdle();
      if (Gateway.nowMs() > endMs - REFUSE_MS) this.#services.clear();
      if (isOutOfRotation && this.#ingress.connectionCount === 0) break;
      // eslint-disable-next-line no-await-in-loop
      await sleep(STOP_POLL_MS);
    }
    this.#ingress.close();
    this.#config.stop();
    clearInterval(this.#timer);
    this.#sync.close();
    [this.#ready, this.#metricsServer].forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
    this.#registry.close();
    this.#logger.info('stopped', 'the instance has stopped', {
      open: this.#ingress.openCount,
      afterMs: Math.round(Gateway.nowMs() - startMs),
    });
  }

  get #instanceCount(): number {
    return Math.max(this.#peers.instanceCount() + 1, this.#instanceCountMax);
  }

  #tick(): void {
    const nowMs = Gateway.nowMs();
    this.#peers.settle(nowMs);
    this.#instanceCountMax = this.#instanceCount;
    this.#member.tick();
    if (this.#peers.isUnanimous(this.#member.generation, nowMs)) this.#member.keepUp();
    this.#list.tick();
    this.#sync.tick();
    this.#fleet.tick();
    this.#logReadiness();
    if (nowMs - this.#plannedMs >= PLAN_MS) {
      this.#plannedMs = nowMs;
      this.#fleet.plan();
    }
    this.#pump();
  }

  #logReadiness(): void {
    if (this.isReady === this.#wasReady) return;
    this.#wasReady = this.isReady;
    const text = this.isReady ? 'the instance is ready' : 'the instance is not ready';
    this.#logger.info('readiness', text, {
      configVersion: this.#config.version,
      endpoints: this.#registry.all.length,
    });
  }

  #pump(): void {
    this.#isPumpDue = false;
    this.#services.pump(Gateway.nowMs());
  }

  #schedulePump(): void {
    if (this.#isPumpDue) return;
    this.#isPumpDue = true;
    setImmediate(() => this.#pump());
  }

  #take(exchange: CallerExchange, body: Buffer): void {
    const { config, routes } = this.#config;
    const head = this.#ports.codec.readCaller(exchange.headers);
    const refuse = (status: number, reason: string, retryAfterMs?: number): void => {
      this.#run.finished(
        { requestId: head.requestId, route: '', outcome: 'refused', status, reason },
        { host: exchange.headers.host, path: exchange.path, configVersion: this.#config.version },
      );
      exchange.refuse(status, reason, retryAfterMs);
    };
    if (this.#isTooLate()) {
      refuse(503, 'stopping', this.#settings.retryAfterMinMs);
      return;
    }
    if (!config || !routes || !this.#list.isLoaded) {
      refuse(503, 'not ready', NOT_READY_RETRY_MS);
      return;
    }
    const route = routes.match(exchange.headers.host ?? '', exchange.path);
    if (!route) {
      refuse(404, 'no route');
      return;
    }
    const service = config.services.get(chooseTarget(route, this.#random.unit()) ?? '');
    if (!service) {
      refuse(503, 'no service', NOT_READY_RETRY_MS);
      return;
    }
    new RequestRun(this.#run, exchange, { route, service }, head, body).start();
  }

  // A request that comes long after the stopping began may not end before the process does.
  #isTooLate(): boolean {
    return this.#isStopping && Gateway.nowMs() > this.#stoppingMs + LATE_MS;
  }

  #createRunContext(): RunContext {
    const { codec } = this.#ports;
    return {
      picker: this.#picker,
      codec,
      nowMs: Gateway.nowMs,
      randomUnit: () => this.#random.unit(),
      retryAfterMinMs: this.#settings.retryAfterMinMs,
      instanceCount: () => this.#instanceCount,
      line: (service) => this.#services.line(service),
      budget: (service) => this.#services.budget(service),
      prepare: (endpoint, model, adapter) =>
        this.#fleet.prepareThroughOwner(endpoint, model, adapter),
      asked: (head, target) => this.#fleet.asked(head, target),
      refused: (head, target) => this.#fleet.refused(head, target),
      sent: (endpoint, { model, adapter }) => {
        this.#metrics.dispatches.inc();
        if (adapter !== undefined) this.#noteAdapter(endpoint.id, `${model}/${adapter}`);
      },
      ended: (holdMs) => {
        this.#metrics.observe('endpoint_hold', holdMs);
        this.#schedulePump();
      },
      denied: (endpoint, answer, { model, adapter }) => {
        const item = adapter === undefined ? model : `${model}/${adapter}`;
        const isOther = answer.endpointId !== undefined && answer.endpointId !== endpoint.id;
        if (isOther) endpoint.health.wasSilent(Gateway.nowMs());
        else if (item !== undefined) endpoint.denied(item, Gateway.nowMs());
      },
      decision: (...args) => this.#log.decision(...args),
      finished: (...args) => this.#log.finished(...args),
    };
  }

  #noteAdapter(endpoint: string, item: string): void {
    const used = this.#usedAdapters.get(endpoint) ?? new Set();
    used.add(item);
    this.#usedAdapters.set(endpoint, used);
  }

  #othersLoad(id: string): EndpointLoad {
    const nowMs = Gateway.nowMs();
    if (nowMs - this.#othersMs > OTHERS_MS) {
      this.#others = this.#peers.loads(nowMs);
      this.#othersMs = nowMs;
    }
    return this.#others[id] ?? NO_LOAD;
  }

  // Owners of shares read the list in turn; the others read only when they hear nothing.
  #rank(): number {
    if (this.#member.shares.length === 0) return Infinity;
    const names = this.#peers.fresh(Gateway.nowMs()).map(({ instance }) => instance);
    return names.filter((name) => name < this.#settings.instance).length;
  }

  #hear(state: InstanceState): void {
    if (state.instance !== this.#settings.instance) {
      this.#config.heard(state.configVersion, async () =>
        packedConfig.unpack(await this.#sync.readConfig({ host: state.host, port: state.port })),
      );
    }
    this.#fleet.hear(state);
    // The owners of the engines hear of the adapters that this instance's followers use.
    Object.entries(state.usedAdapters).forEach(([endpoint, items]) => {
      if (state.shares.length > 0) return;
      items.forEach((item) => this.#noteAdapter(endpoint, item));
    });
    this.#schedulePump();
  }

  // What the owners are told: adapters that were used are told once.
  #state(): InstanceState {
    const nowMs = Gateway.nowMs();
    const own = this.#ownState();
    this.#usedAdapters.clear();
    this.#fleet.hear(own);
    return { ...own, ...this.#peers.sumsWith(own, nowMs) };
  }

  #ownState(): InstanceState {
    const nowMs = Gateway.nowMs();
    const busy = this.#registry.all.filter(({ ownCount }) => ownCount > 0);
    const used = [...this.#usedAdapters].map(([id, items]) => [id, [...items]] as const);
    const isOwner = this.#member.shares.length > 0;
    if (!isOwner) this.#usedAdapters.clear();
    this.#sequence += 1;
    const { instance, failureDomain, peerAddress } = this.#settings;
    return {
      instance,
      failureDomain,
      host: peerAddress.host,
      port: peerAddress.port,
      sequence: this.#sequence,
      startedMs: this.#startedMs,
      isStopping: this.#isStopping,
      instanceCount: 1,
      configVersion: this.#config.version,
      loads: Object.fromEntries(
        busy.map(({ id, ownCount, unreadTokenCount }) => [
          id,
          { count: ownCount, unreadTokenCount },
        ]),
      ),
      demand: this.#fleet.ownDemand(),
      urgentModels: this.#fleet.demand.urgentModels(nowMs),
      awaited: this.#services.awaitedModels,
      usedAdapters: Object.fromEntries(used),
      generation: this.#member.generation,
      hasLapsed: this.#member.hasLapsed,
      shares: this.#member.shares,
      orderAgesMs: this.#fleet.handover.orderAgesMs(nowMs),
      engines: this.#fleet.ownStates(),
      owners: this.#sync.owners,
    };
  }

  async #writeMetrics(): Promise<string> {
    const nowMs = Gateway.nowMs();
    this.#metrics.waiting.set(this.#services.waitingCount);
    this.#metrics.instances.set(this.#peers.instanceCount() + 1);
    this.#metrics.endpoints.set(this.#registry.all.length);
    this.#metrics.listAgeMs.set(this.#list.ageMs(nowMs));
    this.#metrics.ownedEngines.set(Object.keys(this.#fleet.ownStates()).length);
    return this.#metrics.text();
  }

  static async #listen(
    server: Server,
    { host, port }: { readonly host: string; readonly port: number },
  ): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }
}
