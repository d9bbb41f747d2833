import { Random, TokenBucket, quotaTotal } from '@chervilseam/decisions';
import type { QuotaBound } from '@chervilseam/decisions';
import type { QuotaSpec } from '@chervilseam/model';
import { PartLogger } from '@chervilseam/observe';
import { QuotaKeeper } from '../../lib/quota/quota-keeper.js';
import type { QuotaPeer } from '../../lib/quota/quota-peer.js';
import type { QuotaVerdict } from '../../lib/quota/quota-verdict.js';
import { SimulatedTime } from '../fleet/simulated-time.js';
import { cborBytes } from './cbor-bytes.js';

const TICK_MS = 50;
const CALL_TIMEOUT_MS = 300;
/** Time until others know of an instance's end or start, and until the store gives its share to another, in milliseconds. */
const NOTICE_MS = 2_000;
/** Age up to which an instance counts as started only now, in milliseconds. */
const YOUNG_MS = 8_000;
const HANDOVER_MS = 2_100;
const OWNER_COUNT_MAX = 24;
/** Frame, TCP and IP headers of a message, in bytes. */
const HEADER_BYTES = 70;
/** Wall-clock time of the beginning, in milliseconds. */
const EPOCH_MS = 1.7e12;
const STEP_MS = 5;
const MS_PER_SECOND = 1_000;
const UNITS_MIN = 200;
const UNITS_SPREAD = 1_800;

interface SimulatedInstance {
  readonly peer: QuotaPeer;
  keeper: QuotaKeeper;
  startedMs: number;
  isRunning: boolean;
  /** Instances on other sides cannot reach it. */
  side: number;
  quotas: ReadonlyMap<string, QuotaSpec>;
}

/** What the callers of a workspace ask for. */
interface Load {
  readonly workspace: string;
  /** Units per second at a time, in milliseconds. */
  readonly perSecond: (nowMs: number) => number;
  /** Whether its callers are behind an instance. */
  readonly isBehind: (peer: QuotaPeer) => boolean;
}

/** Units of one workspace over the run. */
interface Use {
  /** Admitted units by step. */
  readonly admitted: number[];
  /** What one token bucket at one place would admit, altogether and by step. */
  readonly ideal: TokenBucket;
  readonly idealCounts: number[];
  /** The same for buckets with even parts of the quota at each instance. */
  readonly even: Map<string, TokenBucket>;
  readonly evenCounts: number[];
}

const sumOf = (counts: readonly number[], fromMs: number, untilMs: number): number =>
  counts.slice(fromMs / STEP_MS, untilMs / STEP_MS).reduce((sum, count) => sum + (count ?? 0), 0);

/** Instances that keep quotas together, in simulated time, without sockets. */
export class SimulatedQuotas {
  readonly time = new SimulatedTime();
  readonly instances: SimulatedInstance[];
  readonly #owners: SimulatedInstance[];
  /** Messages and bytes between different instances. */
  readonly traffic = { messages: 0, bytes: 0 };
  readonly #random: Random;
  readonly #bound: QuotaBound;
  readonly #uses = new Map<string, Use>();

  constructor(
    instanceCount: number,
    domainCount: number,
    quotas: ReadonlyMap<string, QuotaSpec>,
    bound: QuotaBound,
    seed = 1,
  ) {
    this.#random = new Random(seed);
    this.#bound = bound;
    this.instances = Array.from({ length: instanceCount }, (_, index) => {
      const instance: Partial<SimulatedInstance> = {
        peer: {
          instance: `i-${index}`,
          failureDomain: `d-${index % domainCount}`,
          host: '127.0.0.1',
          port: index,
          processorShare: 0.25 + (index % 3) / 2,
        },
        isRunning: false,
        side: 0,
        quotas,
      };
      return instance as SimulatedInstance;
    });
    this.#owners = this.instances.slice(0, OWNER_COUNT_MAX);
    this.instances.forEach((instance, index) => {
      this.start(instance);
      this.time.after(1 + ((7 * index) % TICK_MS), () => this.#tick(instance));
    });
    quotas.forEach((quota, workspace) => {
      const total = quotaTotal(quota, bound);
      this.#uses.set(workspace, {
        admitted: [],
        ideal: new TokenBucket(quota.ratePerSecond, quota.burst, 0),
        idealCounts: [],
        even: new Map(
          this.instances.map(({ peer }) => [
            peer.instance,
            new TokenBucket(total.ratePerSecond / instanceCount, total.room / instanceCount, 0),
          ]),
        ),
        evenCounts: [],
      });
    });
  }

  /** Starts an instance, or starts it again. */
  start(instance: SimulatedInstance): void {
    const { peer } = instance;
    const startedMs = this.time.nowMs;
    const entry = instance;
    entry.startedMs = startedMs;
    entry.isRunning = true;
    entry.keeper = new QuotaKeeper({
      instance: peer.instance,
      failureDomain: peer.failureDomain,
      startedMs: EPOCH_MS + startedMs,
      bound: this.#bound,
      logger: PartLogger.forInstance(peer.instance, 'fatal')('quota'),
      nowMs: () => this.time.nowMs,
      wallMs: () => this.time.nowMs,
      randomUnit: () => this.#random.unit(),
      quotas: () => instance.quotas,
      owners: () => this.#ownersFor(instance).map((owner) => owner.peer),
      allocator: () => this.#allocatorFor(instance)?.peer,
      isAllocator: () => this.#allocatorFor(instance) === instance,
      handoverMs: HANDOVER_MS,
      isFreshFleet: () =>
        this.#ownersFor(instance).every(
          (owner) => this.#uptimeMs(owner) < YOUNG_MS && !owner.keeper.hasLeases,
        ),
      call: async (to, method, params) => {
        const target = this.instances[to.port];
        this.#countMessage([method, params]);
        await this.time.wait(1 + this.#random.unit() * 3);
        if (!SimulatedQuotas.#reaches(instance, target) || entry.startedMs !== startedMs) {
          await this.time.wait(CALL_TIMEOUT_MS);
          throw new Error('no answer');
        }
        const answer = target.keeper.receive(method, peer.instance, params);
        this.#countMessage(answer);
        await this.time.wait(1 + this.#random.unit() * 3);
        if (!SimulatedQuotas.#reaches(instance, target)) {
          await this.time.wait(CALL_TIMEOUT_MS);
          throw new Error('no answer');
        }
        return answer;
      },
    });
  }

  /** Ends the process of an instance. */
  static stop(instance: SimulatedInstance): void {
    Object.assign(instance, { isRunning: false, startedMs: -1 });
  }

  /** Cuts instances off from those on other sides. */
  static setSide(instances: readonly SimulatedInstance[], side: number): void {
    instances.forEach((instance) => Object.assign(instance, { side }));
  }

  /** Puts other quotas in force at some instances. */
  static configure(
    instances: readonly SimulatedInstance[],
    quotas: ReadonlyMap<string, QuotaSpec>,
  ): void {
    instances.forEach((instance) => Object.assign(instance, { quotas }));
  }

  /** Sends requests from now on. */
  send(loads: readonly Load[], untilMs: number): void {
    const { nowMs } = this.time;
    if (nowMs >= untilMs) return;
    loads.forEach(({ workspace, perSecond, isBehind }) => {
      const behind = this.instances.filter(({ peer, isRunning }) => isRunning && isBehind(peer));
      const mean = UNITS_MIN + UNITS_SPREAD / 2;
      const expected = (perSecond(nowMs) * STEP_MS) / MS_PER_SECOND / mean;
      for (
        let at = this.#random.exponential(1);
        at < expected && behind.length > 0;
        at += this.#random.exponential(1)
      ) {
        const units = Math.round(UNITS_MIN + UNITS_SPREAD * this.#random.unit());
        this.#request(workspace, behind[this.#random.below(behind.length)], units);
      }
    });
    this.time.after(STEP_MS, () => this.send(loads, untilMs));
  }

  /** @returns greatest number of units in a window, as a share of what the bound allows */
  peakShare(workspace: string, quota: QuotaSpec, fromMs = 0): number {
    const { admitted } = this.#uses.get(workspace) as Use;
    const { windowMs, overRatio, slackCount } = this.#bound;
    const allowed =
      ((quota.ratePerSecond * windowMs) / MS_PER_SECOND + quota.burst) * (1 + overRatio) +
      slackCount;
    const steps = windowMs / STEP_MS;
    let sum = 0;
    let peak = 0;
    for (let step = fromMs / STEP_MS; step < admitted.length; step += 1) {
      sum +=
        (admitted[step] ?? 0) -
        (step - steps >= fromMs / STEP_MS ? (admitted[step - steps] ?? 0) : 0);
      peak = Math.max(peak, sum);
    }
    return peak / allowed;
  }

  /** @returns shares of what is below the quota that were admitted, here and with even parts, in a period */
  servedShares(workspace: string, fromMs: number, untilMs: number): { own: number; even: number } {
    const { admitted, idealCounts, evenCounts } = this.#uses.get(workspace) as Use;
    const ideal = sumOf(idealCounts, fromMs, untilMs);
    return {
      own: sumOf(admitted, fromMs, untilMs) / ideal,
      even: sumOf(evenCounts, fromMs, untilMs) / ideal,
    };
  }

  /** @returns the same over all workspaces */
  servedShareOfAll(fromMs: number, untilMs: number): { own: number; even: number } {
    const sums = { own: 0, even: 0, ideal: 0 };
    this.#uses.forEach(({ admitted, evenCounts, idealCounts }) => {
      sums.own += sumOf(admitted, fromMs, untilMs);
      sums.even += sumOf(evenCounts, fromMs, untilMs);
      sums.ideal += sumOf(idealCounts, fromMs, untilMs);
    });
    return { own: sums.own / sums.ideal, even: sums.even / sums.ideal };
  }

  #request(workspace: string, instance: SimulatedInstance, units: number): void {
    const { nowMs } = this.time;
    const use = this.#uses.get(workspace) as Use;
    const { startedMs } = instance;
    const count = (counts: number[], atMs: number): void => {
      const step = Math.floor(atMs / STEP_MS);
      // eslint-disable-next-line no-param-reassign
      counts[step] = (counts[step] ?? 0) + units;
    };
    if (use.ideal.take(nowMs, units) === 0) count(use.idealCounts, nowMs);
    if (use.even.get(instance.peer.instance)?.take(nowMs, units) === 0) {
      count(use.evenCounts, nowMs);
    }
    const quota = instance.quotas.get(workspace) as QuotaSpec;
    const head = { statesTokenCounts: true, promptTokenCount: units, outputTokenCountMax: 0 };
    const settle = ({ kind }: QuotaVerdict): void => {
      if (kind !== 'admitted' || instance.startedMs !== startedMs) return;
      count(use.admitted, this.time.nowMs);
    };
    const verdict = instance.keeper.admit(workspace, quota, head);
    if (verdict instanceof Promise) void verdict.then(settle);
    else settle(verdict);
  }

  #tick(instance: SimulatedInstance): void {
    if (instance.isRunning) instance.keeper.tick();
    this.time.after(TICK_MS, () => this.#tick(instance));
  }

  #uptimeMs(instance: SimulatedInstance): number {
    return instance.isRunning ? this.time.nowMs - instance.startedMs : 0;
  }

  static #reaches(from: SimulatedInstance, to: SimulatedInstance): boolean {
    return from.isRunning && to.isRunning && from.side === to.side;
  }

  #ownersFor(instance: SimulatedInstance): SimulatedInstance[] {
    return this.#owners.filter((other) => SimulatedQuotas.#reaches(instance, other));
  }

  // The store is on the first side. It takes its time to notice that the owner is gone.
  #allocatorFor(instance: SimulatedInstance): SimulatedInstance | undefined {
    if (instance.side !== 0) return undefined;
    const owners = this.#ownersFor(instance);
    return owners.find((owner) => this.#uptimeMs(owner) >= NOTICE_MS) ?? owners[0];
  }

  #countMessage(message: unknown): void {
    this.traffic.messages += 1;
    this.traffic.bytes += cborBytes(message) + HEADER_BYTES;
  }
}
