import { randomBytes } from 'node:crypto';
import { loadChart, Random, RouteTable } from '@chervilseam/decisions';
import type { ConfigSnapshot, Member, MembershipMessage } from '@chervilseam/decisions';
import { createDrivers } from '@chervilseam/endpoints';
import { answerInParts, compressedCbor } from '@chervilseam/peer';
import type { PeerStream } from '@chervilseam/peer';
import { HttpInstanceList, HttpLog } from '@chervilseam/ports';
import { PartLogger } from '@chervilseam/observe';
import { EndpointDirectory } from './entry/endpoint-directory.js';
import { Entry } from './entry/entry.js';
import { OwnerClient } from './entry/owner-client.js';
import { CallerFront } from './http/caller-front.js';
import { OperatorFront } from './http/operator-front.js';
import { DecisionLog } from './observe/decision-log.js';
import { Metrics } from './observe/metrics.js';
import { HopTracer } from './observe/tracer.js';
import { KeyService } from './keys/key-service.js';
import { Owner } from './owner/owner.js';
import { ReportLoop } from './owner/report-loop.js';
import type { DispatchParams } from './peer/dispatch-params.js';
import { Group } from './peer/group.js';
import { DomainService } from './place/domain-service.js';
import { PeerNode } from './peer/peer-node.js';
import { ConfigSync } from './platform/config-sync.js';
import { PrioritizedLog } from './platform/prioritized-log.js';
import type { Settings } from './settings/settings.js';

/** Interval of the timers of keys and membership. */
const TICK_MS = 50;
const OWNER_TICK_MS = 50;
const DOMAIN_TICK_MS = 100;
const REPORT_POLL_MS = 1_000;
/** Interval of the comparison of rumors with another instance. */
const RUMOR_SYNC_MS = 15_000;
/** Delay before an operation is retried or a condition is checked again. */
const RETRY_MS = 50;
/** Maximum number of attempts of a starting instance to fetch the rumors of others. */
const FETCH_RUMORS_COUNT_MAX = 5;

/** Secrets of a daemon; they are not part of the settings, so that the settings can be printed. */
interface Secrets {
  readonly peerKey: string;
  readonly operatorKey: string;
}

interface Ports {
  readonly callerPort: number;
  readonly operatorPort: number;
  readonly peerPort: number;
}

const chart = loadChart('lifecycle');

/**
 * One instance. Every instance is both an entry, which accepts callers' requests, and an owner, which
 * sends requests to the endpoints that it owns.
 */
export class Daemon {
  readonly peers: PeerNode;
  readonly metrics = new Metrics();
  readonly tracer: HopTracer;
  readonly config: ConfigSync;
  readonly #settings: Settings;
  readonly #secrets: Secrets;
  readonly #logger: ReturnType<typeof PartLogger.forInstance>;
  readonly #random: Random;
  readonly #drivers = createDrivers();
  readonly #decisions = new DecisionLog();
  readonly #httpLog: HttpLog;
  readonly #log: PrioritizedLog;
  readonly #list: HttpInstanceList;
  readonly #group: Group;
  /** Unique id of this run (start to exit) of the instance. */
  readonly #bootId: string;
  readonly #directory: EndpointDirectory;
  readonly #owner: Owner;
  readonly #entry: Entry;
  readonly #keys: KeyService;
  readonly #domain: DomainService;
  readonly #reports: ReportLoop;
  readonly #callerFront: CallerFront;
  readonly #operatorFront: OperatorFront;
  #state = chart.initial;
  /** Settles when the daemon has stopped; set once it stops. */
  #stopped: Promise<void> | undefined;
  #timers: NodeJS.Timeout[] = [];
  #ports: Ports = { callerPort: 0, operatorPort: 0, peerPort: 0 };

  /**
   * @param settings - valid settings
   * @param secrets - the keys of peers and of operators
   * @param logStream - stream to write log lines to; standard output by default
   */
  constructor(settings: Settings, secrets: Secrets, logStream?: NodeJS.WritableStream) {
    this.#settings = settings;
    this.#secrets = secrets;
    const { name } = settings.instance;
    this.#bootId = `${name}-${randomBytes(6).toString('hex')}`;
    this.#logger = PartLogger.forInstance(name, settings.observe.logLevel, logStream);
    this.#random = new Random(randomBytes(4).readInt32BE());
    this.tracer = new HopTracer(name, settings.observe.traceShare);
    const { logUrl, instanceListUrl, callTimeoutMs } = settings.platform;
    this.#httpLog = new HttpLog(logUrl, callTimeoutMs);
    this.#log = new PrioritizedLog(this.#httpLog);
    this.#list = new HttpInstanceList(instanceListUrl, callTimeoutMs);
    this.#group = new Group({
      settings,
      bootId: this.#bootId,
      list: this.#list,
      random: this.#random,
      metrics: this.metrics,
      view: () => this.config.view,
      nowMs: Daemon.#nowMs,
    });
    this.config = this.#createConfig();
    this.peers = this.#createPeers();
    this.#directory = new EndpointDirectory(this.#group, () => this.config.view);
    this.#keys = this.#createKeys();
    this.#owner = this.#createOwner();
    this.#entry = this.#createEntry();
    this.#domain = this.#createDomain();
    this.#reports = this.#createReports();
    this.#callerFront = this.#createCallerFront();
    this.#operatorFront = this.#createOperatorFront();
  }

  /** The ports that the daemon listens on, after {@link start}. */
  get ports(): Ports {
    return this.#ports;
  }

  /** All members that this instance knows, whatever their state. */
  get members(): readonly Member[] {
    return [...this.#group.members.values()];
  }

  /**
   * @param endpoint - name of an endpoint
   * @returns whether this instance has received the state of the endpoint
   */
  knowsEndpoint(endpoint: string): boolean {
    return this.#directory.stateOf(endpoint) !== undefined;
  }

  /**
   * @param endpoint - name of an endpoint
   * @returns whether the endpoint is leaving, as far as this instance knows
   */
  isLeaving(endpoint: string): boolean {
    return this.#directory.isLeaving(endpoint);
  }

  /**
   * Disconnects this instance from the log, or reconnects it; for tests of network partitions.
   *
   * @param isBlocked - whether calls to the log fail
   */
  blockLog(isBlocked: boolean): void {
    this.#httpLog.isBlocked = isBlocked;
  }

  /** Listens on the ports, fetches the state of other instances and the configuration, and serves. */
  async start(): Promise<void> {
    await this.peers.listen();
    const callerPort = await this.#callerFront.listen();
    const operatorPort = await this.#operatorFront.listen();
    this.#ports = { callerPort, operatorPort, peerPort: this.peers.port };
    this.#group.join(this.peers);
    await this.#group.pollList();
    await this.#fetchRumors();
    await this.config.poll();
    this.#startTimers();
    this.#state = chart.next(this.#state, 'READY');
    this.#logger('daemon').info('started', 'The instance is serving.', { ...this.#ports });
  }

  // An instance without the state of the endpoints would refuse requests that others can serve, so it
  // is not ready until it has fetched that state. If no instance answers, it starts without it.
  async #fetchRumors(): Promise<void> {
    for (let attempts = 0; attempts < FETCH_RUMORS_COUNT_MAX; attempts += 1) {
      // eslint-disable-next-line no-await-in-loop -- each attempt follows a failed one
      if (await this.#group.fetchRumors()) return;
      // eslint-disable-next-line no-await-in-loop -- each attempt follows a failed one
      await Daemon.#sleep(RETRY_MS);
    }
    this.#logger('member').warn(
      'alone',
      'No other instance answered; starting without the endpoint states of others.',
    );
  }

  /**
   * Drains and closes the daemon: announces that it is leaving and keeps serving for the notice
   * period. Then it accepts no new connections and waits for requests in progress, up to the drain
   * timeout.
   *
   * @returns settles when the daemon has stopped; a further call waits for the stop that is under way
   */
  stop(): Promise<void> {
    this.#stopped ??= this.#stop();
    return this.#stopped;
  }

  async #stop(): Promise<void> {
    if (!chart.can(this.#state, 'TERMINATE')) return;
    const wasServing = this.#state === 'serving';
    this.#state = chart.next(this.#state, 'TERMINATE');
    if (!wasServing) return;
    this.#logger('daemon').info(
      'draining',
      'Draining: the readiness check fails; requests are still served.',
    );
    this.#group.announce('leaving');
    await Daemon.#sleep(this.#settings.shutdown.noticeMs);
    this.#callerFront.stopListening();
    const isIdle = await this.#waitUntilIdle();
    this.#state = chart.next(this.#state, isIdle ? 'IDLE' : 'TIMEOUT');
    this.#group.announce('left');
    await Daemon.#sleep(2 * this.#settings.membership.periodMs);
    this.kill();
    this.#state = chart.next(this.#state, 'CLOSED');
    this.#logger('daemon').info('stopped', 'Stopped.', { isIdle });
  }

  /** Logs that the settings were asked to be read again: they take effect at the next start. */
  noteReload(): void {
    this.#logger('daemon').info('reload', 'Settings take effect at the next start.');
  }

  /** Closes everything at once, as if the process was killed. */
  kill(): void {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#timers = [];
    this.#callerFront.close();
    this.#operatorFront.close();
    this.peers.close();
    this.#httpLog.close();
    this.#list.close();
    Object.values(this.#drivers).forEach((driver) => driver.close());
  }

  static #sleep(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, durationMs);
    });
  }

  /** @returns the time of a monotonic clock, in milliseconds */
  static #nowMs(): number {
    return performance.now();
  }

  #createConfig(): ConfigSync {
    return new ConfigSync({
      log: this.#log,
      logger: this.#logger('config'),
      metrics: this.metrics,
      logRetentionMs: this.#settings.platform.logRetentionMs,
      nowMs: Daemon.#nowMs,
      randomUnit: () => this.#random.unit(),
      fetchFromPeer: (fromOffset) => this.#fetchConfig(fromOffset),
    });
  }

  #createPeers(): PeerNode {
    const { name } = this.#settings.instance;
    const { host, peerPort } = this.#settings.listen;
    const countBytes = (metric: Metrics['peerBytes']) => (sent: number, received: number) => {
      metric.inc({ direction: 'sent' }, sent);
      metric.inc({ direction: 'received' }, received);
    };
    return new PeerNode({
      name,
      host,
      port: peerPort,
      secret: this.#secrets.peerKey,
      handlers: {
        dispatch: (params, stream) => this.#owner.dispatch(params as DispatchParams, stream),
        config: (params, stream) => this.#answerConfig(params, stream),
        ...this.#group.handlers,
        keyClaim: (params, stream) => this.#keys.handlers.keyClaim(params, stream),
        keySettle: (params, stream) => this.#keys.handlers.keySettle(params, stream),
        keyAttempt: (params, stream) => this.#keys.handlers.keyAttempt(params, stream),
      },
      onDatagram: (message) => this.#group.receiveDatagram(message as MembershipMessage),
      onRejected: (reason) =>
        this.#logger('peer').warn('peer_rejected', 'Rejected a peer connection or datagram.', {
          reason,
        }),
      onStreamBytes: countBytes(this.metrics.peerBytes),
      onDatagramBytes: countBytes(this.metrics.heartbeatBytes),
    });
  }

  #createKeys(): KeyService {
    return new KeyService({
      log: this.#log,
      peers: this.peers,
      self: this.#settings.instance.name,
      bootId: this.#bootId,
      members: () => this.#group.activeMembers,
      metrics: this.metrics,
      nowMs: Daemon.#nowMs,
      memoryMs: this.#settings.limits.keyMemoryMs,
    });
  }

  #createOwner(): Owner {
    return new Owner({
      drivers: this.#drivers,
      view: () => this.config.view,
      tracer: this.tracer,
      metrics: this.metrics,
      nowMs: Daemon.#nowMs,
      isLeaving: (endpoint) => this.#directory.isLeaving(endpoint),
      fallbackConcurrency: this.#settings.limits.fallbackConcurrency,
    });
  }

  #createEntry(): Entry {
    const { name, failureDomain } = this.#settings.instance;
    const owners = new OwnerClient({
      self: () => name,
      peers: this.peers,
      ownerOf: (endpoint) => this.#group.ownerOf(endpoint),
      handleLocally: (params, stream) => this.#owner.dispatch(params, stream),
    });
    return new Entry({
      directory: this.#directory,
      routes: new RouteTable(this.#random),
      owners,
      tracer: this.tracer,
      metrics: this.metrics,
      decisions: this.#decisions,
      nowMs: Daemon.#nowMs,
      randomUnit: () => this.#random.unit(),
      onModelRequested: (model) => this.#domain.demand.countRequest(model),
      answerTimeoutMs: this.#settings.limits.answerTimeoutMs,
      isLocal: (endpoint) =>
        this.config.view.endpoints.get(endpoint)?.failureDomain === failureDomain,
      weightOf: (caller) => this.config.view.callers.get(caller)?.share ?? 1,
      view: () => this.config.view,
      keys: this.#keys,
      bootId: this.#bootId,
    });
  }

  #createDomain(): DomainService {
    const { instance, placement } = this.#settings;
    return new DomainService({
      log: this.#log,
      driver: this.#drivers.engine,
      logger: this.#logger('place'),
      metrics: this.metrics,
      self: instance.name,
      bootId: this.#bootId,
      failureDomain: instance.failureDomain,
      view: () => this.config.view,
      preferredOwner: (endpoint) => this.#group.ownerOf(endpoint),
      members: () => this.#group.members,
      isLeaving: (endpoint) => this.#directory.isLeaving(endpoint),
      tokensPerSecond: (endpoint) => this.#owner.tokensPerSecond(endpoint),
      nowMs: Daemon.#nowMs,
      logRetentionMs: this.#settings.platform.logRetentionMs,
      randomUnit: () => this.#random.unit(),
      longestDelayMs: placement.longestOrderDelayMs,
      loadsPerSecond: placement.loadsPerSecond,
      adapterLoadsMax: placement.adapterLoadsMax,
      movesAtOnceMax: placement.movesAtOnceMax,
    });
  }

  #createReports(): ReportLoop {
    const { name } = this.#settings.instance;
    return new ReportLoop({
      drivers: this.#drivers,
      view: () => this.config.view,
      self: name,
      shouldOwn: (endpoint) => this.#group.ownerOf(endpoint)?.name === name,
      rumorOf: (key) => this.#group.get(key),
      publish: (rumor) => this.#group.publish(rumor),
      onReport: (endpoint, report) => this.#domain.onReport(endpoint, report),
    });
  }

  #createCallerFront(): CallerFront {
    return new CallerFront({
      settings: this.#settings,
      view: () => this.config.view,
      entry: this.#entry,
      refusalCode: () => {
        if (this.#state === 'starting' || !this.config.isReady) return 'not_ready';
        return this.#state === 'stopping' ? 'shutting_down' : undefined;
      },
    });
  }

  #createOperatorFront(): OperatorFront {
    const { host, operatorPort } = this.#settings.listen;
    return new OperatorFront({
      host,
      port: operatorPort,
      operatorKey: this.#secrets.operatorKey,
      isReady: () => this.#state === 'serving' && this.config.isReady,
      metrics: () => this.metrics.text(),
      pages: {
        status: () => this.#status(),
        'debug/decisions': ({ trace }) => this.#decisions.latest(trace),
        'debug/placement': ({ model }) => this.#explainPlacement(model ?? ''),
        'debug/moves': ({ id, item }) => this.#domain.moves.latest(id, item),
        'debug/spans': ({ trace }) => this.tracer.latest(trace),
      },
      actions: {
        drain: ({ endpoint }) => {
          this.#group.drain(String(endpoint));
          return { endpoint, isLeaving: true };
        },
      },
    });
  }

  #status(): unknown {
    const { offset, chain } = this.config.fold;
    return {
      instance: this.#settings.instance,
      state: this.#state,
      config: { offset, chain, isLogDown: this.config.isLogDown },
      members: this.members,
      endpoints: [...this.config.view.endpoints.keys()].map((name) => ({
        name,
        owner: this.#group.ownerOf(name)?.name,
        ownership: this.#domain.ownershipOf(name),
        isLeaving: this.#directory.isLeaving(name),
        residents: this.#directory.stateOf(name)?.residents ?? [],
        load: this.#owner.loadOf(name),
      })),
      requests: this.#entry.runCount,
    };
  }

  #explainPlacement(model: string): unknown {
    const { engines, demand } = this.#domain.ledger;
    const isOfModel = (item: string): boolean => item.startsWith(`model/${model}`);
    return {
      model,
      demandTokensPerSecond: demand.get(model) ?? 0,
      engines: [...engines.values()].map(({ state, worstBytes, liveOrders }) => ({
        endpoint: state.endpoint,
        owner: state.owner,
        fence: state.fence,
        worstBytes,
        residents: Object.keys(state.residents).filter(isOfModel),
        orders: liveOrders.filter(({ item }) => isOfModel(item)),
      })),
      plan: this.#domain.plan,
      moves: this.#domain.moves.latest('', model),
    };
  }

  #startTimers(): void {
    const { configPollMs, listPollMs } = this.#settings.platform;
    const addTimer = (periodMs: number, action: () => void): void => {
      this.#timers.push(setInterval(action, periodMs));
    };
    addTimer(TICK_MS, () => this.#tick());
    addTimer(OWNER_TICK_MS, () => this.#owner.tick());
    addTimer(DOMAIN_TICK_MS, () => this.#domain.tick());
    addTimer(configPollMs, () => this.config.poll());
    addTimer(listPollMs, () => this.#group.pollList());
    addTimer(REPORT_POLL_MS, () => this.#reports.poll());
    addTimer(RUMOR_SYNC_MS, () => this.#group.syncRumors());
    this.#reports.poll();
  }

  #tick(): void {
    this.#keys.tick();
    this.#group.tick();
  }

  async #fetchConfig(fromOffset: number): Promise<ConfigSnapshot | undefined> {
    const bytes = await this.#group.downloadFromAnyPeer('config', { fromOffset });
    if (!bytes || bytes.length === 0) return undefined;
    return (await compressedCbor.decode(bytes)) as ConfigSnapshot;
  }

  // Sends nothing when the other instance has everything.
  #answerConfig(params: unknown, stream: PeerStream): void {
    const { fromOffset } = params as { fromOffset: number };
    const { fold } = this.config;
    if (fold.offset <= fromOffset) stream.end();
    else void answerInParts(stream, compressedCbor.encode(fold.snapshot()));
  }

  /** @returns number of requests and entries of idempotency keys that a shutdown waits for */
  #workCount(): number {
    // Entries of keys, such as the outcomes of requests, are waited for until the log confirms them,
    // except while the log is down: waiting would not help then.
    const keys = this.config.isLogDown ? 0 : this.#keys.pendingCount;
    return this.#entry.runCount + this.#owner.requestCount + keys;
  }

  /** @returns whether all work ended within the drain timeout */
  async #waitUntilIdle(): Promise<boolean> {
    const endMs = Daemon.#nowMs() + this.#settings.shutdown.drainTimeoutMs;
    while (this.#workCount() > 0) {
      if (Daemon.#nowMs() > endMs) return false;
      // eslint-disable-next-line no-await-in-loop -- the loop polls
      await Daemon.#sleep(RETRY_MS);
    }
    return true;
  }
}
