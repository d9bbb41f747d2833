import { quotaCost, SuspensionWatch } from '@chervilseam/decisions';
import type { QuotaSpec } from '@chervilseam/model';
import type { CallerHead } from '../ports/caller-head.js';
import { QuotaAdmission } from './quota-admission.js';
import type { QuotaCalls } from './quota-calls.js';
import type { QuotaCharge } from './quota-charge.js';
import type { QuotaContext } from './quota-context.js';
import { QuotaLeases } from './quota-leases.js';
import { QuotaPools } from './quota-pools.js';
import type { QuotaVerdict } from './quota-verdict.js';

/**
 * Keeps the quotas of workspaces over all instances. Every instance admits requests from units that it gets from a pool
 * of its failure domain; the pools hold leases of the quotas' rates from one allocator.
 */
export class QuotaKeeper {
  readonly #context: QuotaContext;
  readonly #admission: QuotaAdmission;
  readonly #pools: QuotaPools;
  readonly #leases: QuotaLeases;
  readonly #suspension: SuspensionWatch;

  /** @param context - dependencies */
  constructor(context: QuotaContext) {
    const local: QuotaContext = {
      ...context,
      call: async (peer, method, params) =>
        peer.instance === context.instance
          ? this.receive(method, context.instance, params)
          : context.call(peer, method, params),
    };
    this.#context = context;
    this.#admission = new QuotaAdmission(local);
    this.#pools = new QuotaPools(local);
    this.#leases = new QuotaLeases(local);
    this.#suspension = new SuspensionWatch(context.nowMs(), context.wallMs());
  }

  /** Number of workspaces whose units this instance gives to others. */
  get poolCount(): number {
    return this.#pools.count;
  }

  /** Whether this instance may hold a part of a quota for its failure domain. */
  get hasLeases(): boolean {
    return this.#pools.hasLeases;
  }

  /** Whether this instance divides the quotas. */
  get isAllocator(): boolean {
    return this.#leases.isGranting;
  }

  /**
   * @param workspace - the request's workspace
   * @param quota - its quota
   * @param head - what the request's headers state
   * @returns whether the request is admitted; a promise while that isn't known
   */
  admit(
    workspace: string,
    quota: QuotaSpec,
    head: Pick<CallerHead, 'statesTokenCounts' | 'promptTokenCount' | 'outputTokenCountMax'>,
  ): QuotaVerdict | Promise<QuotaVerdict> {
    this.#checkClocks();
    return this.#admission.admit(workspace, quotaCost(quota, head));
  }

  /**
   * Gives back the units of a request that was refused and has not run.
   *
   * @param charge - what it was charged
   * @returns whether they were given back
   */
  giveBack(charge: QuotaCharge): boolean {
    return this.#admission.giveBack(charge);
  }

  /**
   * Answers a call of another instance.
   *
   * @param method - what it asks
   * @param instance - its name
   * @param params - parameters of the call
   * @returns the answer
   */
  receive<M extends keyof QuotaCalls>(
    method: M,
    instance: string,
    params: QuotaCalls[M]['params'],
  ): QuotaCalls[M]['answer'] {
    this.#checkClocks();
    const handlers: {
      readonly [N in keyof QuotaCalls]: (
        callParams: QuotaCalls[N]['params'],
      ) => QuotaCalls[N]['answer'];
    } = {
      units: (units) => this.#pools.give(instance, units),
      lease: (lease) => this.#leases.grant(instance, lease),
    };
    return handlers[method](params);
  }

  /** Periodic work: fetches units, renews leases. */
  tick(): void {
    this.#checkClocks();
    this.#leases.tick();
    if (this.#context.quotas().size === 0 && this.#pools.count === 0) return;
    this.#pools.tick();
    this.#admission.tick();
  }

  // The monotonic clock stops while the process is suspended: leases may have ended meanwhile.
  #checkClocks(): void {
    const { wallMs, nowMs, logger } = this.#context;
    const driftMs = this.#suspension.check(nowMs(), wallMs());
    if (driftMs === undefined) return;
    this.#admission.clear();
    this.#pools.reset();
    this.#leases.reset();
    logger.warn('quota_clocks_apart', 'leases of quotas were given up: the clocks jumped', {
      driftMs: Math.round(driftMs),
    });
  }
}
