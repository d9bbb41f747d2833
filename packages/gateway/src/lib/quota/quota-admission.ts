import { QuotaBalance, refundLimitMs } from '@chervilseam/decisions';
import { getOrCreate } from '../get-or-create.js';
import { preferredPool } from './preferred-pool.js';
import type { QuotaCharge } from './quota-charge.js';
import type { QuotaContext } from './quota-context.js';
import type { QuotaPeer } from './quota-peer.js';
import type { QuotaVerdict } from './quota-verdict.js';
import type { WireAnswer } from './wire-answer.js';
import type { WireAsk } from './wire-ask.js';

/** How long the units that are fetched ahead should last, in milliseconds. */
const STOCK_MS = 1_400;
/** Longest time that a request waits until there is room for it, in milliseconds. */
const WAIT_MAX_MS = 300;
/** Time for which a pool that did not answer is avoided, in milliseconds. */
const AVOIDED_MS = 1_000;
/** Number of pools that are asked in turn. */
const POOL_COUNT = 2;
/** Upper bound of the random time in `Retry-After`, so that callers do not return together, in milliseconds. */
const RETRY_SPREAD_MS = 1_200;

interface WaitingRequest {
  readonly untilMs: number;
  readonly units: number;
  readonly resolve: (verdict: QuotaVerdict) => void;
}

/**
 * Admits requests of workspaces with quotas from units that were fetched from the pool of this failure domain. A
 * request that these do not cover waits for one call to the pool.
 */
export class QuotaAdmission {
  readonly #context: QuotaContext;
  readonly #balances = new Map<string, QuotaBalance>();
  readonly #waiting = new Map<string, WaitingRequest[]>();
  /** Until when pools that did not answer are avoided, by instance, in milliseconds. */
  readonly #avoidedUntilMs = new Map<string, number>();
  #isAsking = false;
  #sequence = 0;

  /** @param context - dependencies */
  constructor(context: QuotaContext) {
    this.#context = context;
  }

  /**
   * @param workspace - workspace of the request
   * @param units - what it counts for
   * @returns whether it is admitted; a promise while that isn't known
   */
  admit(workspace: string, units: number): QuotaVerdict | Promise<QuotaVerdict> {
    const nowMs = this.#context.nowMs();
    const balance = this.#balanceOf(workspace);
    balance.count(units, nowMs);
    if (!this.#waiting.has(workspace) && balance.take(units, nowMs)) {
      return this.#admitted(workspace, units);
    }
    if (balance.shortMs(nowMs) > WAIT_MAX_MS) return this.#exceeded(balance);
    return new Promise((resolve) => {
      const waiting = this.#waiting.get(workspace) ?? [];
      waiting.push({ units, resolve, untilMs: nowMs + WAIT_MAX_MS });
      this.#waiting.set(workspace, waiting);
      this.#ask();
    });
  }

  /**
   * Gives back the units of a request that was refused and has not run.
   *
   * @param charge - what it was charged
   * @returns whether they were given back
   */
  giveBack({ workspace, units, admittedMs }: QuotaCharge): boolean {
    const { nowMs, bound } = this.#context;
    if (nowMs() > admittedMs + refundLimitMs(bound)) return false;
    this.#balances.get(workspace)?.giveBack(units, nowMs());
    return true;
  }

  /** Fetches units where they run low, and forgets workspaces without a quota. */
  tick(): void {
    const quotas = this.#context.quotas();
    this.#balances.forEach((_, workspace) => {
      if (!quotas.has(workspace)) this.#balances.delete(workspace);
    });
    this.#ask();
  }

  /** Gives up all units. */
  clear(): void {
    this.#balances.forEach((balance) => balance.clear());
  }

  #balanceOf(workspace: string): QuotaBalance {
    return getOrCreate(this.#balances, workspace, () => new QuotaBalance());
  }

  #admitted(workspace: string, units: number): QuotaVerdict {
    return {
      kind: 'admitted',
      charge: { workspace, units, admittedMs: this.#context.nowMs() },
    };
  }

  #exceeded(balance: QuotaBalance): QuotaVerdict {
    const { nowMs, randomUnit } = this.#context;
    const retryAfterMs = balance.shortMs(nowMs()) + RETRY_SPREAD_MS * randomUnit();
    return { kind: 'exceeded', retryAfterMs };
  }

  #ask(): void {
    if (this.#isAsking) return;
    const nowMs = this.#context.nowMs();
    const isDue = [...this.#balances].some(([workspace, balance]) =>
      this.#waiting.has(workspace) ? balance.shortMs(nowMs) === 0 : balance.isLow(STOCK_MS, nowMs),
    );
    if (!isDue) return;
    const asks: Record<string, WireAsk> = {};
    const asked = new Map<string, number>();
    this.#balances.forEach((balance, workspace) => {
      const isShort = balance.shortMs(nowMs) > 0;
      const waiting = isShort ? [] : (this.#waiting.get(workspace) ?? []);
      const units = waiting.map((request) => request.units);
      const ask = balance.ask(units, STOCK_MS, nowMs);
      if (!ask) return;
      const { held, waiting: waitingUnits, needed, stock, largest } = ask;
      asks[workspace] = [ask.asked, held, waitingUnits, needed, stock, largest];
      asked.set(workspace, waiting.length);
    });
    this.#isAsking = true;
    void this.#call(asks).then((answers) => {
      this.#isAsking = false;
      asked.forEach((count, workspace) => {
        const answer = answers?.[workspace];
        if (answer) this.#receive(workspace, answer, nowMs);
        this.#settle(workspace, count, answer !== undefined);
      });
      // Requests that came meanwhile.
      if (this.#waiting.size > 0) this.#ask();
    });
  }

  async #call(
    asks: Readonly<Record<string, WireAsk>>,
  ): Promise<Readonly<Record<string, WireAnswer>> | undefined> {
    const { call, startedMs, nowMs, logger } = this.#context;
    for (let index = 0; index < POOL_COUNT; index += 1) {
      const pool = this.#pool();
      if (!pool) return undefined;
      this.#sequence += 1;
      try {
        // eslint-disable-next-line no-await-in-loop
        const { answers } = await call(pool, 'units', {
          startedMs,
          sequence: this.#sequence,
          asks,
        });
        if (answers) return answers;
      } catch (error) {
        const fields = { pool: pool.instance, error: (error as Error).message };
        logger.info('quota_pool_silent', 'the pool of quotas does not answer', fields);
      }
      this.#avoidedUntilMs.set(pool.instance, nowMs() + AVOIDED_MS);
    }
    return undefined;
  }

  #pool(): QuotaPeer | undefined {
    const { failureDomain, owners, nowMs } = this.#context;
    this.#avoidedUntilMs.forEach((untilMs, instance) => {
      if (nowMs() >= untilMs) this.#avoidedUntilMs.delete(instance);
    });
    return preferredPool(
      failureDomain,
      owners().filter(({ instance }) => !this.#avoidedUntilMs.has(instance)),
    );
  }

  #receive(workspace: string, [units, waitMs]: WireAnswer, askedMs: number): void {
    const { nowMs } = this.#context;
    this.#balanceOf(workspace).receive({ units, waitMs }, askedMs, nowMs());
  }

  // Answers the requests that the call was made for. The others, and those for which there will be room soon, wait for
  // the next call.
  #settle(workspace: string, askedCount: number, isAnswered: boolean): void {
    const nowMs = this.#context.nowMs();
    const balance = this.#balanceOf(workspace);
    const waiting = this.#waiting.get(workspace) ?? [];
    const left = waiting.filter(({ units, resolve, untilMs }, index) => {
      if (balance.take(units, nowMs)) {
        resolve(this.#admitted(workspace, units));
        return false;
      }
      const isEarly = isAnswered && nowMs + balance.shortMs(nowMs) < untilMs;
      if (isEarly || (index >= askedCount && balance.shortMs(nowMs) === 0)) return true;
      resolve(isAnswered ? this.#exceeded(balance) : { kind: 'unknown' });
      return false;
    });
    if (left.length > 0) this.#waiting.set(workspace, left);
    else this.#waiting.delete(workspace);
  }
}
