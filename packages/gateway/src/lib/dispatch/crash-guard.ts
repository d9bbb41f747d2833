import { CrashSuspects } from '@chervilseam/decisions';
import type { EngineEnd, SuspectRun, Withheld } from '@chervilseam/decisions';
import type { EndpointRecord } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { Endpoint } from '../feed/endpoint.js';
import { runIdOf } from '../feed/run-id-of.js';
import { ProcessState } from './process-state.js';

/** Time for which a broken run waits for a sign that its engine has ended, in milliseconds. */
const BROKEN_RUN_TTL_MS = 4_000;
/** Time between two looks at what is too old, in milliseconds. */
const EXPIRE_INTERVAL_MS = 1_000;
/** Time between two trials of the same part by this instance, in milliseconds. */
const TRIAL_INTERVAL_MS = 10_000;

/** Dependencies of the guard. */
interface CrashGuardContext {
  readonly nowMs: () => number;
  readonly logger: PartLogger;
  /** Checks whether the process that a record describes is still running; never rejects. */
  readonly probe: (endpoint: EndpointRecord) => Promise<ProcessState>;
  /** @returns an endpoint by the identity of the run of its process */
  readonly endpointOfRun: (run: string) => Endpoint | undefined;
  /** @returns whether this instance is the one that tries a withheld part again */
  readonly isExaminer: (part: string) => boolean;
  /** Called when an engine ended under runs of this instance. */
  readonly onEnded: () => void;
  /** Called when a request is withheld. */
  readonly onWithheld: () => void;
  /** Called when this instance saw something that the others should know soon. */
  readonly onEvidence: () => void;
}

interface BrokenRuns {
  readonly sinceMs: number;
  readonly runs: SuspectRun[];
  hasEnded: boolean;
  readonly probed: Promise<void>;
}

/**
 * Collects which prompts this instance's runs had when an engine ended, exchanges that with the other
 * instances, and says which requests must not be sent because engines end under them.
 */
export class CrashGuard {
  readonly #context: CrashGuardContext;
  readonly #suspects = new CrashSuspects();
  /** Runs that broke off at the beginning of their answers, by endpoint. */
  readonly #broken = new Map<Endpoint, BrokenRuns>();
  /** When this instance last let a withheld part be tried, by part, in milliseconds. */
  readonly #triedMs = new Map<string, number>();
  readonly #withheldParts = new Set<string>();
  #expiredMs = -Infinity;

  /** @param context - dependencies of the guard */
  constructor(context: CrashGuardContext) {
    this.#context = context;
  }

  /** Number of parts of prompts that are suspected. */
  get suspectCount(): number {
    return this.#suspects.suspects.length;
  }

  /** Number of parts of prompts for which requests were withheld and that have not been cleared. */
  get withheldCount(): number {
    return this.#withheldParts.size;
  }

  /** @returns whether any part of a prompt is suspected */
  isSuspect(parts: readonly string[]): boolean {
    return this.#suspects.isSuspect(parts);
  }

  /**
   * @param parts - parts of the prompt of a request that is about to be sent
   * @returns why it must not be sent; `undefined` when it may be
   */
  withheld(parts: readonly string[]): Withheld | undefined {
    const { nowMs, logger, isExaminer, onWithheld } = this.#context;
    const verdict = this.#suspects.withheld(parts, nowMs());
    if (!verdict) return undefined;
    const { promptPart: part } = verdict;
    if (verdict.trialInMs === 0 && isExaminer(part) && this.#takeTrial(part)) {
      logger.warn('part_tried', 'one request with a withheld part of a prompt is sent', {
        ...verdict,
      });
      return undefined;
    }
    if (!this.#withheldParts.has(part)) {
      this.#withheldParts.add(part);
      logger.error('part_withheld', 'requests with a part under which engines ended are withheld', {
        ...verdict,
      });
    }
    onWithheld();
    return verdict;
  }

  /**
   * Records a run that broke off before its answer had got past its beginning, and finds out whether its
   * engine has ended.
   *
   * @param endpoint - the engine
   * @param run - the run
   * @returns resolves when that is known, or no sign of it came in time
   */
  async brokeOff(endpoint: Endpoint, run: SuspectRun): Promise<void> {
    const { nowMs } = this.#context;
    const known = this.#broken.get(endpoint);
    if (known && nowMs() < known.sinceMs + BROKEN_RUN_TTL_MS) {
      known.runs.push(run);
      if (known.hasEnded) this.#record(endpoint, [run]);
      else await known.probed;
      return;
    }
    const broken: BrokenRuns = {
      sinceMs: nowMs(),
      runs: [run],
      hasEnded: false,
      probed: this.#probe(endpoint),
    };
    this.#broken.set(endpoint, broken);
    await broken.probed;
  }

  /**
   * @param endpoint - an endpoint whose connection was just closed
   * @returns whether the process that had the connection is known to be running still
   */
  async isRunning(endpoint: Endpoint): Promise<boolean> {
    const state = await this.#context.probe(endpoint.record);
    return state === ProcessState.running;
  }

  /** @param endpoint - an endpoint where no process listens */
  connectionRefused(endpoint: Endpoint): void {
    const broken = this.#broken.get(endpoint);
    if (!broken || broken.hasEnded) return;
    broken.hasEnded = true;
    this.#context.onEnded();
    endpoint.health.recordEnd(this.#context.nowMs());
    this.#record(endpoint, broken.runs);
  }

  /** @param parts - parts of a prompt on which an answer got past its beginning */
  proven(parts: readonly string[]): void {
    const { nowMs, logger, onEvidence } = this.#context;
    const cleared = this.#suspects.clear(parts, nowMs());
    if (cleared.length === 0) return;
    cleared.forEach((part) => {
      if (!this.#withheldParts.delete(part)) return;
      logger.warn('part_cleared', 'a part that was withheld is no longer', { promptPart: part });
    });
    onEvidence();
  }

  /**
   * Merges what another instance knows of ends of engines.
   *
   * @param ends - the ends by their ids; `undefined` from an instance of an earlier version
   */
  merge(ends: Readonly<Record<string, EngineEnd>> = {}): void {
    const { nowMs, endpointOfRun } = this.#context;
    this.#suspects.merge(ends, nowMs()).forEach((end) => {
      endpointOfRun(end)?.health.recordEnd(nowMs());
    });
  }

  /** @returns all that is known here of ends of engines, for other instances */
  published(): Readonly<Record<string, EngineEnd>> {
    return this.#suspects.published(this.#context.nowMs());
  }

  /** Forgets what is too old. */
  expire(): void {
    const nowMs = this.#context.nowMs();
    if (nowMs < this.#expiredMs + EXPIRE_INTERVAL_MS) return;
    this.#expiredMs = nowMs;
    this.#suspects.expire(nowMs);
    // Another instance may have cleared them.
    this.#withheldParts.forEach((part) => {
      if (!this.#suspects.isSuspect([part])) this.#withheldParts.delete(part);
    });
    this.#triedMs.forEach((triedMs, part) => {
      if (nowMs > triedMs + TRIAL_INTERVAL_MS) this.#triedMs.delete(part);
    });
    this.#broken.forEach(({ sinceMs }, endpoint) => {
      if (nowMs > sinceMs + BROKEN_RUN_TTL_MS) this.#broken.delete(endpoint);
    });
  }

  #takeTrial(part: string): boolean {
    const { nowMs } = this.#context;
    if (nowMs() < (this.#triedMs.get(part) ?? -Infinity) + TRIAL_INTERVAL_MS) return false;
    this.#triedMs.set(part, nowMs());
    return true;
  }

  // A connection that breaks does not mean that the engine has ended: the link may be cut, and a faulty
  // engine resets single connections.
  async #probe(endpoint: Endpoint): Promise<void> {
    const state = await this.#context.probe(endpoint.record);
    if (state === ProcessState.running) this.#broken.delete(endpoint);
    if (state === ProcessState.ended) this.connectionRefused(endpoint);
  }

  #record(endpoint: Endpoint, runs: readonly SuspectRun[]): void {
    const { nowMs, logger, onEvidence } = this.#context;
    const end = runIdOf(endpoint.record);
    this.#suspects.record(end, runs, nowMs());
    logger.warn('engine_ended', 'an engine ended while it began to answer', {
      end,
      runs: runs.map(({ parts, isTest }) => ({ parts, isTest })),
      suspects: this.#suspects.suspects.slice(0, 8),
    });
    onEvidence();
  }
}
