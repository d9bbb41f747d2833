import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  chooseTarget,
  isStrings,
  MemoryBudget,
  quotaCost,
  Random,
  weightedRendezvous,
} from '@chervilseam/decisions';
import { eraNumber, shownDigestOf } from '@chervilseam/model';
import type { QuotaSpec } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import { CrashGuard } from './dispatch/crash-guard.js';
import { EndpointPicker } from './dispatch/endpoint-picker.js';
import { examineRun } from './dispatch/examine-run.js';
import type { OpenRun } from './dispatch/open-run.js';
import { RequestRun } from './dispatch/request-run.js';
import type { RunContext } from './dispatch/run-context.js';
import { ServiceTable } from './dispatch/service-table.js';
import { ConfigFeed } from './feed/config-feed.js';
import { EndpointFeed } from './feed/endpoint-feed.js';
import type { Endpoint } from './feed/endpoint.js';
import { EndpointRegistry } from './feed/endpoint-registry.js';
import { EraCheckedStore } from './feed/era-checked-store.js';
import { listTimesOf } from './feed/list-times.js';
import { runIdOf } from './feed/run-id-of.js';
import type { GatewayPorts } from './gateway-ports.js';
import type { GatewaySettings } from './gateway-settings.js';
import type { CallerExchange } from './ingress/caller-exchange.js';
import { IngressServer } from './ingress/ingress-server.js';
import type { MemoryKind } from './ingress/memory-kind.js';
import { ShutdownTimes } from './ingress/shutdown-times.js';
import { EventLoop } from './observe/event-loop.js';
import { GatewayMetrics } from './observe/gateway-metrics.js';
import { PeriodicWork } from './observe/periodic-work.js';
import { RequestLog } from './observe/request-log.js';
import { EngineFleet } from './owner/engine-fleet.js';
import { GroupMember } from './owner/group-member.js';
import type { EndpointLoad } from './peer/endpoint-load.js';
import type { InstanceState } from './peer/instance-state.js';
import type { CallerHead } from './ports/caller-head.js';
import { parsePeerKey } from './peer/parse-peer-key.js';
import { peerKey } from './peer/peer-key.js';
import { PeerSync } from './peer/peer-sync.js';
import { PeerTable } from './peer/peer-table.js';
import { QuotaFleet } from './quota/quota-fleet.js';
import { QuotaKeeper } from './quota/quota-keeper.js';
import type { QuotaCharge } from './quota/quota-charge.js';
import { quotaSpecsOf } from './quota/quota-specs-of.js';
import type { QuotaVerdict } from './quota/quota-verdict.js';

/** Time between two runs of the periodic work, in milliseconds. */
const TICK_MS = 50;
/** Time between two rounds of placement planning, in milliseconds. */
const PLAN_PERIOD_MS = 300;
/** Time for which the sums of other instances' loads are cached, in milliseconds. */
const PEER_LOADS_TTL_MS = 20;
/**
 * Share of the process's memory that buffered requests and answers may take. The rest is for the program, its state,
 * and garbage that is not collected yet.
 */
const HELD_MEMORY_SHARE = 0.2;
/** Share of the process's sockets that callers may take; each of their requests may take another one to an endpoint. */
const CALLER_SOCKET_SHARE = 0.6;
const NO_LOAD: EndpointLoad = { count: 0, unreadTokenCount: 0 };
/**
 * `Retry-After` of an instance that has no configuration or list of endpoints yet, or whose
 * configuration lacks the service, in milliseconds.
 */
const NOT_READY_RETRY_MS = 500;
/** Shortest time between two log lines on connections and bodies of callers that were given up, in milliseconds. */
const SHED_LOG_PERIOD_MS = 1_000;
/** `Retry-After` of a request whose quota no reachable instance knows, in milliseconds. */
const QUOTA_RETRY_MS = 1_000;
/** How a request is refused that its quota does not admit. */
const quotaRefusals = {
  exceeded: { status: 429, reason: 'quota exceeded' },
  unknown: { status: 503, reason: 'quota unknown' },
} as const;
const NO_QUOTAS: ReadonlyMap<string, QuotaSpec> = new Map();
/** Time between two checks of the open connections during a shutdown, in milliseconds. */
const STOP_POLL_MS = 50;

/** One instance: accepts callers' requests and sends each to an endpoint. */
export class Gateway {
  readonly #settings: GatewaySettings;
  readonly #ports: GatewayPorts;
  readonly #logger: PartLogger;
  readonly #metrics = new GatewayMetrics();
  readonly #eventLoop = new EventLoop(Gateway.nowMs, TICK_MS);
  readonly #periodicWork: PeriodicWork;
  readonly #memory: MemoryBudget<MemoryKind>;
  readonly #random = new Random(Date.now() >>> 0);
  readonly #registry: EndpointRegistry;
  readonly #peers = new PeerTable();
  readonly #peerSync: PeerSync;
  readonly #member: GroupMember;
  readonly #config: ConfigFeed;
  readonly #endpointFeed: EndpointFeed;
  readonly #fleet: EngineFleet;
  readonly #ingress: IngressServer;
  readonly #crashGuard: CrashGuard;
  readonly #picker: EndpointPicker;
  readonly #runContext: RunContext;
  readonly #services: ServiceTable;
  readonly #quotas: QuotaKeeper;
  readonly #requestLog: RequestLog;
  /** Adapters used since the last report, each as MODEL/ADAPTER, by endpoint. */
  readonly #usedAdapters = new Map<string, Set<string>>();
  readonly #startedMs = Date.now();
  readonly #readyServer: Server;
  readonly #metricsServer: Server;
  /** Sequence number of the last state that this instance created. */
  #sequence = 0;
  /** Loads of the other instances by endpoint, summed at `#peerLoadsMs`. */
  #peerLoads: Readonly<Record<string, EndpointLoad>> = {};
  #peerLoadsMs = -Infinity;
  /** Models that requests waited for as of the last tick. */
  #awaited: readonly string[] = [];
  #lastPlanMs = 0;
  /** When the last log line on connections and bodies of callers that were given up was written. */
  #shedLoggedMs = -Infinity;
  /** Quotas by workspace, of the configuration in force. */
  #quotaSpecs = NO_QUOTAS;
  #timer: NodeJS.Timeout | undefined;
  /** Set once the instance stops. */
  #shutdown: ShutdownTimes | undefined;
  /** Settles when the instance has stopped; set once it stops. */
  #stopped: Promise<void> | undefined;
  /** Requests that have not been answered yet. */
  readonly #openRuns = new Set<OpenRun>();
  #isDispatchScheduled = false;
  #wasReady = false;
  /** Peak of the number of known instances, including this one; it never falls. */
  #instanceCountMax = 1;

  /**
   * @param settings - settings of the instance
   * @param ports - the store, the control calls to engines, the header codec and the loggers
   */
  constructor(settings: GatewaySettings, ports: GatewayPorts) {
    this.#settings = settings;
    this.#ports = ports;
    this.#logger = ports.logger('gateway');
    this.#memory = new MemoryBudget(HELD_MEMORY_SHARE * settings.memoryBytes, (kind, bytes) => {
      this.#metrics.evictions.inc({ kind });
      this.#logger.warn(
        'memory_short',
        'memory budget exceeded; dropping the largest buffered answer or closing its connection',
        {
          kind,
          bytes,
          usedBytes: this.#memory.usedBytes,
        },
      );
    });
    this.#requestLog = new RequestLog(ports.logger('request'), this.#metrics);
    this.#services = new ServiceTable({
      ratio: settings.retryRatio,
      windowMs: settings.retryWindowMs,
      freeCount: settings.retryFreeCount,
    });
    const { nowMs } = Gateway;
    const { readPeriodMs, suspicionMs } = listTimesOf(settings.leaveBoundMs);
    this.#registry = new EndpointRegistry(suspicionMs);
    const store = new EraCheckedStore({
      store: ports.store,
      logger: ports.logger('store'),
      onEra: (era) => this.#metrics.storeEra.set(era),
    });
    this.#endpointFeed = new EndpointFeed({
      store,
      registry: this.#registry,
      logger: ports.logger('list'),
      nowMs,
      readPeriodMs,
      rank: () => this.#readRank(),
      relay: (previousOffset) => this.#peerSync.relay(previousOffset),
      onUpdate: (outcome) => this.#metrics.listUpdates.inc({ outcome }),
      onReplaced: (ageMs) => this.#metrics.observe('list_age_max', ageMs),
      onTransitions: () => this.#scheduleDispatch(),
    });
    this.#config = new ConfigFeed({
      store,
      logger: ports.logger('config'),
      nowMs,
      isInformed: () => this.#member.shares.length === 0 && this.#peerSync.isFollowing,
      rank: () => this.#readRank(),
      readPeer: (address) => this.#peerSync.readConfig(parsePeerKey(address)),
      randomUnit: () => this.#random.unit(),
      onRead: (source, outcome, durationMs) => {
        this.#metrics.configReads.inc({ source, outcome });
        if (source === 'peer') this.#metrics.observe('config_read', durationMs);
      },
      onChange: (config) => {
        const { limits, version, routes } = config;
        this.#ingress.apply(limits);
        this.#quotaSpecs = quotaSpecsOf(config);
        this.#services.keepRoutes(routes.map(({ name }) => name));
        this.#metrics.configVersion.set(version);
        this.#scheduleDispatch();
      },
    });
    this.#peerSync = new PeerSync({
      instance: settings.instance,
      secret: settings.peerSecret,
      table: this.#peers,
      logger: ports.logger('peer'),
      nowMs,
      failureDomain: settings.failureDomain,
      isOwner: () => this.#member.shares.length > 0,
      ownState: () => this.#ownState(),
      state: () => this.#state(),
      loadAdapter: (request) => this.#fleet.loadAdapter(request),
      config: () => this.#config.encoded(),
      quotaCall: (method, instance, params) => this.#quotas.receive(method, instance, params),
      beginMove: (endpoint, move) => this.#fleet.beginMove(endpoint, move),
      list: this.#endpointFeed,
      onState: (state) => this.#onPeerState(state),
      onNoOwner: () => this.#member.scheduleMembersRead(),
    });
    this.#member = new GroupMember({
      store,
      logger: ports.logger('group'),
      nowMs,
      wallMs: Date.now,
      instance: settings.instance,
      host: settings.peerAddress.host,
      port: settings.peerAddress.port,
      ttlMinMs: settings.leaseTtlMinMs,
      handoverMs: settings.handoverMs,
      knowsOwners: () => this.#knowsOwners(),
      onMembers: (addresses) => addresses.forEach((address) => this.#peerSync.addOwner(address)),
      onFailure: (error) => this.#endpointFeed.noteStoreFailure(error),
    });
    this.#fleet = new EngineFleet({
      settings,
      calls: ports.calls,
      logger: ports.logger('engine'),
      nowMs,
      registry: this.#registry,
      peers: this.#peers,
      member: this.#member,
      sync: this.#peerSync,
      config: () => this.#config.config,
      awaited: () => this.#services.awaitedModels,
      onOrder: (outcome) => this.#metrics.orders.inc({ outcome }),
      onLeaving: (endpoint) => this.#noteLeaving(endpoint),
      onMoved: (step, afterMs) => this.#metrics.observe(step, afterMs),
      onReturnDue: (isKept) => this.#metrics.returnsDue.inc({ kept: String(isKept) }),
      onPlanned: (busyMs) => this.#metrics.observe('plan', busyMs),
    });
    this.#quotas = this.#createQuotaKeeper();
    this.#crashGuard = new CrashGuard({
      nowMs,
      logger: ports.logger('crash'),
      probe: (record) => examineRun(ports.calls, record),
      endpointOfRun: (run) => this.#registry.ofRun(run),
      isExaminer: (part) => this.#isExaminer(part),
      onEnded: () => this.#metrics.engineEnds.inc(),
      onWithheld: () => this.#metrics.withheld.inc(),
      onEvidence: () => this.#peerSync.noteUrgent(),
    });
    this.#picker = new EndpointPicker({
      failureDomain: settings.failureDomain,
      nowMs,
      randomUnit: () => this.#random.unit(),
      endpointsOf: (service) => this.#registry.ofService(service),
      peerLoad: (id) => this.#peerLoad(id),
      engineState: (id) => this.#fleet.stateOf(id),
      plannedMs: (model) => this.#fleet.plannedMs(model),
      instanceCount: () => this.#instanceCount,
    });
    this.#runContext = this.#createRunContext();
    this.#ingress = new IngressServer({
      nowMs,
      lagMs: () => this.#eventLoop.lagMs,
      limits: () => this.#config.config?.limits,
      memory: this.#memory,
      connectionCountMax: Math.max(1, Math.floor(CALLER_SOCKET_SHARE * settings.socketCountMax)),
      onShed: (what) => this.#noteShed(what),
      readHead: (headers) => ports.codec.readCaller(headers),
      onRequest: (exchange, head, body) => this.#onRequest(exchange, head, body),
    });
    this.#periodicWork = this.#createPeriodicWork();
    this.#readyServer = createServer((_, response) => {
      response.statusCode = this.isReady ? 200 : 503;
      response.end();
    });
    this.#metricsServer = createServer((_, response) => {
      void this.#writeMetrics().then((text) => response.end(text));
    });
  }

  /** Monotonic clock, in milliseconds. */
  static nowMs(): number {
    return performance.now();
  }

  /** Whether the instance can serve callers. */
  get isReady(): boolean {
    return !this.#shutdown && this.#config.config !== undefined && this.#endpointFeed.isLoaded;
  }

  /** Starts the servers, the reads of the store and the periodic work. */
  async start(): Promise<void> {
    const settings = this.#settings;
    const metricsAddress = { host: settings.host, port: settings.metricsPort };
    await Promise.all([
      this.#ingress.listen(settings.callerAddress),
      this.#peerSync.listen(settings.peerAddress),
      Gateway.#listen(this.#readyServer, settings.readyAddress),
      Gateway.#listen(this.#metricsServer, metricsAddress),
    ]);
    settings.seeds.forEach((address) => this.#peerSync.add(address));
    this.#config.start();
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
    this.#logger.info('started', 'the instance has started', {
      instance: settings.instance,
      failureDomain: settings.failureDomain,
    });
  }

  /**
   * Applies settings that were changed while the instance runs: only new seeds take effect at once,
   * all other settings at the next start.
   *
   * @param settings - the new settings
   */
  reload({ seeds }: Pick<GatewaySettings, 'seeds'>): void {
    seeds.forEach((address) => this.#peerSync.add(address));
    this.#logger.info('reload', 'seeds applied; other settings take effect at the next start', {
      seeds: seeds.map(({ host, port }) => `${host}:${port}`),
    });
  }

  /**
   * Records a signal that the process received.
   *
   * @param signal - its name
   */
  noteSignal(signal: string): void {
    this.#metrics.signals.inc({ signal });
    this.#logger.info('signal', `received ${signal}`, {
      signal,
      lagMs: Math.round(this.#eventLoop.lagMs),
      stoppingForMs: this.#runContext.stoppingForMs(),
    });
  }

  /**
   * Stops the instance: it leaves rotation, then closes idle connections and waits for open requests. Those
   * that are still open when the grace period is nearly over get a true answer; only answers that have begun
   * are cut.
   *
   * @returns settles when the instance has stopped; a further call waits for the stop that is under way
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    const { lagMs } = this.#eventLoop;
    const times = ShutdownTimes.sinceSignal(Gateway.nowMs(), lagMs, this.#settings.graceMs);
    this.#shutdown = times;
    this.#logger.info('stopping', 'shutdown began: the instance leaves rotation', {
      open: this.#ingress.openCount,
      connections: this.#ingress.connectionCount,
      lagMs: Math.round(lagMs),
    });
    this.#ingress.startStopping();
    void this.#member.leave();
    let hasEndedOpen = false;
    while (Gateway.nowMs() < times.endMs) {
      const isOutOfRotation = Gateway.nowMs() > times.outOfRotationMs;
      if (isOutOfRotation) this.#ingress.closeIdle();
      if (Gateway.nowMs() > times.refuseQueuedMs) this.#services.clear();
      if (!hasEndedOpen && Gateway.nowMs() > times.finalAnswersMs) {
        hasEndedOpen = true;
        this.#endOpenRequests();
      }
      if (isOutOfRotation && this.#ingress.connectionCount === 0) break;
      // eslint-disable-next-line no-await-in-loop
      await sleep(STOP_POLL_MS);
    }
    this.#ingress.close();
    this.#config.stop();
    clearInterval(this.#timer);
    this.#peerSync.close();
    [this.#readyServer, this.#metricsServer].forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
    this.#registry.close();
    this.#logger.info('stopped', 'the instance has stopped', {
      open: this.#ingress.openCount,
      unsentBytes: this.#ingress.unsentBytes,
      afterMs: Math.round(Gateway.nowMs() - times.startMs),
    });
  }

  #endOpenRequests(): void {
    this.#logger.info('grace_over', 'the requests that are still open are answered', {
      open: this.#openRuns.size,
    });
    this.#ingress.refuseUnread();
    [...this.#openRuns].forEach((run) => run.endForShutdown());
  }

  get #instanceCount(): number {
    return Math.max(this.#peers.instanceCount() + 1, this.#instanceCountMax);
  }

  #tick(): void {
    this.#metrics.observe('event_loop_lag', this.#eventLoop.tick());
    this.#periodicWork.run();
  }

  #createPeriodicWork(): PeriodicWork {
    const { nowMs } = Gateway;
    return new PeriodicWork({
      nowMs,
      logger: this.#logger,
      parts: {
        peers: () => {
          this.#peers.removeExpired(nowMs());
          this.#instanceCountMax = this.#instanceCount;
        },
        crashes: () => this.#crashGuard.expire(),
        memory: () => this.#ingress.tick(),
        lease: () => {
          this.#member.tick();
          if (this.#peers.isUnanimous(this.#member.generation, nowMs())) this.#member.extendLease();
        },
        endpoints: () => this.#endpointFeed.tick(),
        awaited: () => this.#noteAwaited(),
        exchange: () => this.#peerSync.tick(),
        engines: () => this.#fleet.tick(),
        quotas: () => this.#quotas.tick(),
        readiness: () => this.#logReadiness(),
        plan: () => this.#plan(),
        queue: () => this.#dispatchQueued(),
      },
    });
  }

  #plan(): void {
    const nowMs = Gateway.nowMs();
    if (nowMs - this.#lastPlanMs < PLAN_PERIOD_MS) return;
    this.#lastPlanMs = nowMs;
    this.#fleet.plan();
  }

  #noteShed(what: string): void {
    this.#metrics.shed.inc({ what });
    const nowMs = Gateway.nowMs();
    if (nowMs - this.#shedLoggedMs < SHED_LOG_PERIOD_MS) return;
    this.#shedLoggedMs = nowMs;
    this.#logger.warn('caller_shed', `a ${what} of a caller was given up to make room for others`, {
      connections: this.#ingress.connectionCount,
      waitingBodies: this.#ingress.waitingBodyCount,
      usedBytes: this.#memory.usedBytes,
    });
  }

  // The planner learns of a model that no engine holds as soon as a request waits for it.
  #noteAwaited(): void {
    const awaited = this.#services.awaitedModels;
    if (awaited.some((model) => !this.#awaited.includes(model))) this.#peerSync.noteUrgent();
    this.#awaited = awaited;
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

  // Tries to send the queued requests; called in each tick and when a slot or a model may be available.
  #dispatchQueued(): void {
    this.#isDispatchScheduled = false;
    this.#services.dispatchQueued(Gateway.nowMs());
  }

  #scheduleDispatch(): void {
    if (this.#isDispatchScheduled) return;
    this.#isDispatchScheduled = true;
    setImmediate(() => this.#dispatchQueued());
  }

  #onRequest(exchange: CallerExchange, head: CallerHead, body: Buffer): void {
    const { config, routes, workspaces } = this.#config;
    const { retryAfterMinMs } = this.#settings;
    const refuse = (
      status: number,
      reason: string,
      retryAfterMs?: number,
      inputs: Readonly<Record<string, unknown>> = {},
    ): void => {
      const { path, headers } = exchange;
      this.#runContext.onFinished(
        { requestId: head.requestId, route: '', outcome: 'refused', status, reason },
        { host: headers.host, path, configVersion: this.#config.version, ...inputs },
      );
      exchange.refuse(status, reason, retryAfterMs);
    };
    if (this.#isTooLateToAccept()) {
      refuse(503, 'stopping', retryAfterMinMs);
      return;
    }
    if (!config || !routes || !this.#endpointFeed.isLoaded) {
      refuse(503, 'not ready', NOT_READY_RETRY_MS);
      return;
    }
    const route = routes.match(exchange.headers.host ?? '', exchange.path);
    if (!route) {
      refuse(404, 'no route');
      return;
    }
    const access = workspaces?.accessOf(route, head.keyDigest);
    if (access?.kind === 'denied') {
      this.#metrics.denials.inc();
      const reason = head.keyDigest === undefined ? 'no API key' : 'unknown API key';
      refuse(401, reason, undefined, {
        ...(head.keyDigest !== undefined && { keyDigest: shownDigestOf(head.keyDigest) }),
      });
      return;
    }
    const service = config.services.get(chooseTarget(route, this.#random.unit()) ?? '');
    if (!service) {
      refuse(503, 'no service', NOT_READY_RETRY_MS);
      return;
    }
    const target = { route, service, access, configVersion: config.version };
    const start = (charge?: QuotaCharge): void =>
      new RequestRun(this.#runContext, exchange, { ...target, charge }, head, body).start();
    const { name, quota } = access?.workspace ?? {};
    if (name === undefined || !quota) {
      start();
      return;
    }
    this.#admitByQuota(this.#quotas.admit(name, quota, head), (verdict) => {
      if (exchange.isOver) return;
      if (verdict.kind === 'admitted') {
        start(verdict.charge);
        return;
      }
      const { status, reason } = quotaRefusals[verdict.kind];
      const roomMs = verdict.kind === 'exceeded' ? verdict.retryAfterMs : QUOTA_RETRY_MS;
      const retryAfterMs = Math.max(retryAfterMinMs, roomMs);
      const units = quotaCost(quota, head);
      refuse(status, reason, retryAfterMs, { workspace: name, units, retryAfterMs });
    });
  }

  // Goes on with a request once it is known whether its quota admits it.
  #admitByQuota(
    verdict: QuotaVerdict | Promise<QuotaVerdict>,
    onSettled: (verdict: QuotaVerdict) => void,
  ): void {
    const startMs = Gateway.nowMs();
    const settle = (settled: QuotaVerdict): void => {
      this.#metrics.quotaRequests.inc({ verdict: settled.kind });
      this.#metrics.observe('quota_wait', Gateway.nowMs() - startMs);
      onSettled(settled);
    };
    if (verdict instanceof Promise) void verdict.then(settle);
    else settle(verdict);
  }

  // A request that arrives late in a shutdown might not complete before the process exits.
  #isTooLateToAccept(): boolean {
    return this.#shutdown !== undefined && Gateway.nowMs() > this.#shutdown.acceptUntilMs;
  }

  #createRunContext(): RunContext {
    const { codec } = this.#ports;
    return {
      picker: this.#picker,
      listState: () => ({
        listOffset: eraNumber.shown(this.#endpointFeed.offset),
        listAgeMs: Math.round(this.#endpointFeed.ageMs),
      }),
      crashGuard: this.#crashGuard,
      codec,
      nowMs: Gateway.nowMs,
      eventLoop: this.#eventLoop,
      memory: this.#memory,
      randomUnit: () => this.#random.unit(),
      openRuns: this.#openRuns,
      endMs: () => this.#shutdown?.finalAnswersMs ?? Infinity,
      stoppingForMs: () => this.#shutdown && Math.round(Gateway.nowMs() - this.#shutdown.startMs),
      retryAfterMinMs: this.#settings.retryAfterMinMs,
      instanceCount: () => this.#instanceCount,
      queue: (service) => this.#services.queue(service),
      holdTime: (service) => this.#services.holdTime(service),
      priorityMix: (service) => this.#services.priorityMix(service),
      answerTimes: (route) => this.#services.answerTimes(route),
      retryBudget: (service) => this.#services.retryBudget(service),
      loadAdapter: (endpoint, model, adapter) =>
        this.#fleet.loadAdapterThroughOwner(endpoint, model, adapter),
      onReceived: (head, target) => this.#fleet.recordRequest(head, target),
      onRefused: (head, target, caller) => {
        this.#fleet.recordRefusal(head, target, caller);
        if (!target.charge) return;
        const isBack = this.#quotas.giveBack(target.charge);
        this.#metrics.quotaRefunds.inc({ outcome: isBack ? 'returned' : 'late' });
      },
      onSent: (endpoint, { model, adapter }) => {
        this.#metrics.dispatches.inc();
        this.#peerSync.noteDispatch();
        if (adapter !== undefined) this.#recordAdapterUse(endpoint.id, `${model}/${adapter}`);
      },
      onWaited: (waitedMs) => this.#metrics.observe('queue_wait', waitedMs),
      onReleased: (endpoint, holdMs) => {
        this.#services.holdTime(endpoint.record.service).record(holdMs);
        this.#fleet.recordRunEnd(endpoint, holdMs);
        this.#metrics.observe('endpoint_hold', holdMs);
        this.#scheduleDispatch();
      },
      onMisdirected: (endpoint, answer, { model, adapter }) => {
        const item = adapter === undefined ? model : `${model}/${adapter}`;
        const isOtherEndpoint =
          answer.endpointId !== undefined && answer.endpointId !== endpoint.id;
        if (isOtherEndpoint) endpoint.health.recordNoAnswer(Gateway.nowMs());
        else if (item !== undefined) endpoint.markMissing(item, Gateway.nowMs());
      },
      onLeaving: (endpoint, { endpointId = endpoint.id }) => {
        // Another endpoint may use the address by now.
        if (endpointId === endpoint.id) this.#noteLeaving(endpoint);
      },
      onBackoff: (endpoint, retryAfterMs) => {
        endpoint.backoff.begin(retryAfterMs, Gateway.nowMs());
        this.#metrics.backoffs.inc();
        this.#logger.info('endpoint_backoff', 'an endpoint asks for no requests for a time', {
          endpoint: endpoint.id,
          retryAfterMs,
          leftMs: Math.round(endpoint.backoff.leftMs(Gateway.nowMs())),
        });
      },
      logDecision: (...args) => this.#requestLog.logDecision(...args),
      onFinished: (...args) => this.#requestLog.logEnd(...args),
    };
  }

  #createQuotaKeeper(): QuotaKeeper {
    const { instance, failureDomain, quotaWindowMs, quotaOverRatio, quotaSlackCount } =
      this.#settings;
    const fleet = new QuotaFleet({
      settings: this.#settings,
      nowMs: Gateway.nowMs,
      peers: this.#peers,
      member: this.#member,
      isStopping: () => this.#shutdown !== undefined,
      uptimeMs: () => this.#fleet.handover.uptimeMs(Gateway.nowMs()),
      hasLeases: () => this.#quotas.hasLeases,
      knowsOwners: () => this.#knowsOwners(),
    });
    return new QuotaKeeper({
      instance,
      failureDomain,
      startedMs: this.#startedMs,
      bound: {
        windowMs: quotaWindowMs,
        overRatio: quotaOverRatio,
        slackCount: quotaSlackCount,
      },
      logger: this.#ports.logger('quota'),
      nowMs: Gateway.nowMs,
      wallMs: Date.now,
      randomUnit: () => this.#random.unit(),
      quotas: () => this.#quotaSpecs,
      owners: () => fleet.owners,
      allocator: () => fleet.allocator,
      isAllocator: () => fleet.isAllocator,
      handoverMs: this.#member.leaseTtlMs,
      isFreshFleet: () => fleet.isFresh,
      call: (peer, method, params) => this.#peerSync.callForQuotas(peer, method, params),
    });
  }

  #noteLeaving(endpoint: Endpoint): void {
    if (endpoint.hasAnnouncedLeaving) return;
    this.#metrics.leaving.inc();
    this.#endpointFeed.announceLeaving([runIdOf(endpoint.record)], 'answer');
    this.#peerSync.noteUrgent();
  }

  #recordAdapterUse(endpoint: string, item: string): void {
    const used = this.#usedAdapters.get(endpoint) ?? new Set();
    used.add(item);
    this.#usedAdapters.set(endpoint, used);
  }

  #peerLoad(id: string): EndpointLoad {
    const nowMs = Gateway.nowMs();
    if (nowMs - this.#peerLoadsMs > PEER_LOADS_TTL_MS) {
      this.#peerLoads = this.#peers.loads(nowMs);
      this.#peerLoadsMs = nowMs;
    }
    return this.#peerLoads[id] ?? NO_LOAD;
  }

  // Rank of this instance among those that may read the list of endpoints from the store; 0 reads first.
  // Owners of shares rank by their names. Instances without shares come last: they read the list only
  // when no other instance sends them what it read.
  #readRank(): number {
    if (this.#member.shares.length === 0) return Infinity;
    const names = this.#peers.fresh(Gateway.nowMs()).map(({ instance }) => instance);
    return names.filter((name) => name < this.#settings.instance).length;
  }

  #knowsOwners(): boolean {
    const nowMs = Gateway.nowMs();
    const { shares } = this.#member;
    const isKnown = (share: number): boolean =>
      shares.includes(share) || this.#peers.ownerOf(share, nowMs) !== undefined;
    return Array.from({ length: this.#settings.shareCount }, (_, share) => share).every(isKnown);
  }

  // One owner of shares examines a part, so that the others need not; an instance that knows no owner
  // examines for itself.
  #isExaminer(part: string): boolean {
    const self = this.#settings.instance;
    const owners = this.#peers
      .fresh(Gateway.nowMs())
      .flatMap(({ instance, shares }) => (shares.length > 0 ? [instance] : []));
    if (this.#member.shares.length > 0 || owners.length === 0) owners.push(self);
    return (
      weightedRendezvous(
        part,
        owners.map((name) => ({ name, size: 1 })),
      )?.name === self
    );
  }

  #onPeerState(state: InstanceState): void {
    if (state.instance !== this.#settings.instance) {
      const { configVersion: version, failureDomain } = state;
      const isLocal = failureDomain === this.#settings.failureDomain;
      this.#config.onPeerVersion({ version, address: peerKey(state), isLocal });
      // Callers with quotas wait until the owners of a fleet that starts are known.
      if (this.#quotaSpecs.size > 0) this.#member.noteGeneration(state.generation);
    }
    this.#crashGuard.merge(state.engineEnds);
    if (isStrings(state.leavingRuns)) this.#endpointFeed.announceLeaving(state.leavingRuns, 'peer');
    this.#fleet.receiveState(state);
    // Adapters that a follower used are passed on to the owners with this instance's next state.
    Object.entries(state.usedAdapters).forEach(([endpoint, items]) => {
      if (state.shares.length > 0) return;
      items.forEach((item) => this.#recordAdapterUse(endpoint, item));
    });
    this.#scheduleDispatch();
  }

  // The state that is sent to the owners; each use of an adapter is reported once.
  #state(): InstanceState {
    const nowMs = Gateway.nowMs();
    const own = this.#ownState();
    this.#usedAdapters.clear();
    this.#fleet.receiveState(own);
    return { ...own, ...this.#peers.sumsWith(own, nowMs) };
  }

  #ownState(): InstanceState {
    const nowMs = Gateway.nowMs();
    const inUse = this.#registry.all.filter(({ inFlightCount }) => inFlightCount > 0);
    const used = [...this.#usedAdapters].map(([id, items]) => [id, [...items]] as const);
    const isOwner = this.#member.shares.length > 0;
    // A follower sends this state to its aggregator, so here too each use is reported once.
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
      uptimeMs: this.#fleet.handover.uptimeMs(nowMs),
      isStopping: this.#shutdown !== undefined,
      processorShare: this.#settings.processorShare,
      instanceCount: 1,
      configVersion: this.#config.version,
      loads: Object.fromEntries(
        inUse.map(({ id, inFlightCount, unreadTokenCount, heldTokenCount, runs }) => [
          id,
          {
            count: inFlightCount,
            unreadTokenCount,
            runs,
            ...(heldTokenCount > 0 && { heldTokenCount }),
          },
        ]),
      ),
      demand: this.#fleet.ownDemand(),
      lossWeights: this.#fleet.demand.lossWeights(),
      urgentModels: this.#fleet.demand.urgentModels(nowMs),
      lateAfterLoadModels: this.#fleet.demand.lateAfterLoadModels(nowMs),
      awaited: this.#services.awaitedModels,
      returning: this.#fleet.returning,
      returningSoon: this.#fleet.returningSoon,
      usedAdapters: Object.fromEntries(used),
      generation: this.#member.generation,
      hasLapsed: this.#member.hasLapsed,
      shares: this.#member.shares,
      orderAgesMs: this.#fleet.handover.orderAgesMs(nowMs),
      engines: this.#fleet.ownStates(),
      planned: this.#fleet.planned,
      engineEnds: this.#crashGuard.published(),
      leavingRuns: this.#registry.announcedRuns,
      ...(this.#quotas.hasLeases && { hasQuotaLeases: true }),
      owners: this.#peerSync.owners,
    };
  }

  async #writeMetrics(): Promise<string> {
    this.#metrics.waiting.set(this.#services.waitingCount);
    this.#metrics.awaitedModels.set(this.#services.awaitedModels.length);
    this.#metrics.plannedLoads.set(Object.keys(this.#fleet.planned).length);
    this.#metrics.waitingBodies.set(this.#ingress.waitingBodyCount);
    this.#memory.bytesByKind.forEach((bytes, kind) => this.#metrics.heldBytes.set({ kind }, bytes));
    this.#metrics.instances.set(this.#peers.instanceCount() + 1);
    this.#metrics.endpoints.set(this.#registry.all.length);
    this.#metrics.configVersionReported.set(this.#config.reportedVersion);
    this.#metrics.suspectParts.set(this.#crashGuard.suspectCount);
    this.#metrics.withheldParts.set(this.#crashGuard.withheldCount);
    this.#metrics.listAgeMs.set(this.#endpointFeed.ageMs);
    this.#metrics.quotaPools.set(this.#quotas.poolCount);
    this.#metrics.isQuotaAllocator.set(Number(this.#quotas.isAllocator));
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
