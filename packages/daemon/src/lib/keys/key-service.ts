import { createHash } from 'node:crypto';
import { instanceOfBootId, MintedKeys, weightedRendezvous } from '@chervilseam/decisions';
import type { KeyClaim, KeyVerdict, Member } from '@chervilseam/decisions';
import type { PeerStream } from '@chervilseam/peer';
import type { LogPort } from '@chervilseam/ports';
import type { Metrics } from '../observe/metrics.js';
import type { PeerNode } from '../peer/peer-node.js';
import { AttemptTable } from './attempt-table.js';
import type { AttemptState } from './attempt-table.js';
import { KeyPartition } from './key-partition.js';

/**
 * Number of partitions of the keys that callers chose, each with its own log stream. All instances
 * must use the same number, and it must not change while any key is remembered.
 */
const PARTITION_COUNT = 64;
/** Minimum time between two appends to the log stream of a partition, in milliseconds. */
const APPEND_INTERVAL_MS = 400;
/** Number of records of a partition after which a snapshot is written. */
const SNAPSHOT_RECORD_COUNT = 5_000;
/** Timeout of a call to another instance, in milliseconds. */
const CALL_TIMEOUT_MS = 3_000;
/** Maximum number of claims for one request. */
const CLAIM_COUNT_MAX = 4;
/** Length of a key's digest on the log, in hexadecimal digits. */
const KEY_DIGEST_DIGITS = 32;

/** How an attempt ended: an outcome, or a release of an attempt that never ran. */
type Settlement = Parameters<KeyPartition['settle']>[0];

/** Dependencies of the key service. */
interface KeyServiceContext {
  readonly log: LogPort;
  readonly peers: PeerNode;
  /** Name of this instance. */
  readonly self: string;
  /** Id of this run of the instance. */
  readonly bootId: string;
  /** @returns the active members of the group, including this instance */
  readonly members: () => readonly Member[];
  readonly metrics: Metrics;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
  /** How long a key is remembered, in milliseconds. */
  readonly memoryMs: number;
}

/**
 * Where claims of a key are decided: in the memory of the instance that generated it (`minted`), or
 * in the partition with this number.
 */
type Route = 'minted' | number;

/** The result of a claim. */
interface ClaimResult {
  /** Id of the attempt for which the key was claimed. */
  readonly attempt: string;
  /** `running` means that another attempt holds the key and has not ended. */
  verdict: KeyVerdict | { readonly type: 'running' };
}

/**
 * Ensures that a request with an idempotency key runs at most once. Claims of a key that a caller
 * chose are decided by their order on the log. Claims of a key that this system generated are
 * decided by the instance that generated it, without the log. The instance that decides the claims
 * of a key is the home of the key.
 */
export class KeyService {
  /** Handlers of the methods that other instances call. */
  readonly handlers = {
    keyClaim: (params: unknown, stream: PeerStream) => {
      const { route, claim } = params as { route: Route; claim: KeyClaim };
      this.#claimHere(route, claim).then((verdict) => stream.end(verdict));
    },
    keySettle: (params: unknown, stream: PeerStream) => {
      const { route, settlement } = params as { route: Route; settlement: Settlement };
      this.#settleHere(route, settlement);
      stream.end();
    },
    keyAttempt: (params: unknown, stream: PeerStream) => {
      const { incarnation, attempt } = params as { incarnation: string; attempt: string };
      const isThisRun = incarnation === this.#context.bootId;
      stream.end(isThisRun ? this.#attempts.get(attempt) : { type: 'unknown' });
    },
  };

  readonly #context: KeyServiceContext;
  readonly #attempts = new AttemptTable();
  readonly #partitions = new Map<number, KeyPartition>();
  readonly #minted: MintedKeys;
  #claimCount = 0;

  /** @param context - dependencies of the service */
  constructor(context: KeyServiceContext) {
    this.#context = context;
    this.#minted = new MintedKeys(context.bootId, context.memoryMs);
  }

  /** @returns a new key, whose claims this run of the instance decides without the log */
  mint(): string {
    return this.#minted.mint(this.#context.nowMs());
  }

  /** Makes the log calls that are due in all partitions. */
  tick(): void {
    this.#partitions.forEach((partition) => partition.pump());
  }

  /** Number of entries that are queued or not confirmed by the log yet, in all partitions. */
  get pendingCount(): number {
    return [...this.#partitions.values()].reduce((sum, { pendingCount }) => sum + pendingCount, 0);
  }

  /**
   * Claims a key for a request. When the key is held by an attempt that never ran, or its home
   * cannot be reached, the key is claimed again.
   *
   * @param caller - name of the caller that sent the key
   * @param key - the key as the caller sent it
   * @param digest - digest of the request
   * @returns the verdict and an attempt id; after `granted`, only that attempt may be dispatched
   */
  async claim(caller: string, key: string, digest: string): Promise<ClaimResult> {
    const startedMs = this.#context.nowMs();
    const scoped = KeyService.#scoped(caller, key);
    let result: ClaimResult = { attempt: '', verdict: { type: 'unordered' } };
    for (let isHomeUnreachable = false, tries = 0; tries < CLAIM_COUNT_MAX; tries += 1) {
      const claim = this.#newClaim(scoped, digest);
      // eslint-disable-next-line no-await-in-loop -- each claim depends on the result of the last
      const verdict = await this.#route(key, claim, isHomeUnreachable);
      result = { attempt: claim.attempt, verdict: verdict ?? { type: 'unordered' } };
      if (verdict?.type === 'granted') break;
      this.#attempts.set(claim.attempt, { type: 'abandoned' });
      isHomeUnreachable = verdict === undefined;
      // eslint-disable-next-line no-await-in-loop -- each claim depends on the result of the last
      if (verdict && !(await this.#releaseIfAbandoned(key, claim, result))) break;
    }
    this.#context.metrics.observe('key_intent', this.#context.nowMs() - startedMs);
    return result;
  }

  /**
   * Records how a granted attempt ended.
   *
   * @param caller - name of the caller that sent the key
   * @param key - the key as the caller sent it
   * @param attempt - id of the attempt
   * @param state - its final state
   */
  async settle(caller: string, key: string, attempt: string, state: AttemptState): Promise<void> {
    this.#attempts.set(attempt, state);
    const common = { key: KeyService.#scoped(caller, key), attempt };
    if (state.type === 'abandoned') await this.#settle(key, { ...common, type: 'release' });
    if (state.type === 'ran') {
      const { status, body } = state;
      await this.#settle(key, { ...common, type: 'outcome', outcome: 'ran', status, body });
    }
    if (state.type === 'unknown') {
      const unknown = { outcome: 'unknown', status: 0, body: undefined } as const;
      await this.#settle(key, { ...common, type: 'outcome', ...unknown });
    }
  }

  // The log holds digests of the caller and its key, so that equal keys of two callers stay
  // separate and the log does not reveal what a caller put into its keys.
  static #scoped(caller: string, key: string): string {
    if (MintedKeys.minterOf(key)) return key;
    const text = JSON.stringify([caller, key]);
    return createHash('sha256').update(text).digest('hex').slice(0, KEY_DIGEST_DIGITS);
  }

  static #routeOf(key: string, scoped: string): Route {
    if (MintedKeys.minterOf(key)) return 'minted';
    return Number.parseInt(scoped.slice(0, 8), 16) % PARTITION_COUNT;
  }

  // Each claim has its own attempt id. A home that does not grant a claim releases its attempt,
  // possibly much later. If another home had granted the same attempt, that release would free a
  // key whose request has run.
  #newClaim(key: string, digest: string): KeyClaim {
    this.#claimCount += 1;
    const { bootId } = this.#context;
    const attempt = `${bootId}.k${this.#claimCount}`;
    this.#attempts.set(attempt, { type: 'running' });
    return { key, digest, attempt, dispatcher: bootId };
  }

  /**
   * Asks the dispatcher of the attempt that holds the key how it ended. Releases the key if that
   * attempt never ran; otherwise replaces the verdict by the attempt's state.
   *
   * @returns whether the key was released, so that it can be claimed again
   */
  async #releaseIfAbandoned(key: string, claim: KeyClaim, result: ClaimResult): Promise<boolean> {
    const { verdict } = result;
    if (verdict.type !== 'held') return false;
    const held = await this.#askDispatcher(verdict.dispatcher, verdict.attempt);
    if (held.type === 'abandoned') {
      await this.#settle(key, { type: 'release', key: claim.key, attempt: verdict.attempt });
      return true;
    }
    // eslint-disable-next-line no-param-reassign -- the result was created by the caller for this
    result.verdict = held.type === 'ran' ? { ...held, type: 'replay' } : held;
    return false;
  }

  /**
   * Has a claim decided at the home of its key. When the home of a partition is unreachable, this
   * instance acts as its home itself, which is safe because the log orders the claims of all homes.
   *
   * @returns the verdict, or `undefined` when the call to the home failed
   */
  async #route(
    key: string,
    claim: KeyClaim,
    isHomeUnreachable: boolean,
  ): Promise<KeyVerdict | undefined> {
    const route = KeyService.#routeOf(key, claim.key);
    const target = this.#homeOf(route, key);
    if (route === 'minted') return this.#claimMinted(target, claim);
    if (isHomeUnreachable || !target || target.name === this.#context.self) {
      return this.#claimHere(route, claim);
    }
    try {
      const params = { route, claim };
      const answer = await this.#context.peers.call(target, 'keyClaim', params, CALL_TIMEOUT_MS);
      return answer as KeyVerdict;
    } catch {
      return undefined;
    }
  }

  async #claimMinted(target: Member | undefined, claim: KeyClaim): Promise<KeyVerdict> {
    if (MintedKeys.minterOf(claim.key) === this.#context.bootId) {
      return this.#claimHere('minted', claim);
    }
    if (!target) return { type: 'unknown' };
    const params = { route: 'minted', claim };
    try {
      const answer = await this.#context.peers.call(target, 'keyClaim', params, CALL_TIMEOUT_MS);
      // A later run of the same instance does not have the keys of an earlier run and answers
      // `expired`, but the request may have run under the key.
      const verdict = answer as KeyVerdict;
      return verdict.type === 'expired' ? { type: 'unknown' } : verdict;
    } catch {
      return { type: 'unknown' };
    }
  }

  #claimHere(route: Route, claim: KeyClaim): Promise<KeyVerdict> {
    if (route === 'minted') {
      return Promise.resolve(this.#minted.claim(claim, this.#context.nowMs()));
    }
    return this.#partition(route).claim(claim);
  }

  async #settle(key: string, settlement: Settlement): Promise<void> {
    const route = KeyService.#routeOf(key, settlement.key);
    const target = this.#homeOf(route, key);
    if (!target || target.name === this.#context.self) {
      this.#settleHere(route, settlement);
      return;
    }
    try {
      const params = { route, settlement };
      await this.#context.peers.call(target, 'keySettle', params, CALL_TIMEOUT_MS);
    } catch {
      if (route !== 'minted') this.#settleHere(route, settlement);
    }
  }

  #settleHere(route: Route, settlement: Settlement): void {
    if (route === 'minted') {
      this.#minted.settle({ id: '', ...settlement }, this.#context.nowMs());
      return;
    }
    this.#partition(route).settle(settlement);
  }

  /** @returns the state of an attempt, from the run of the instance that claimed the key for it */
  async #askDispatcher(incarnation: string, attempt: string): Promise<AttemptState> {
    if (incarnation === this.#context.bootId) return this.#attempts.get(attempt);
    const name = instanceOfBootId(incarnation);
    const member = this.#context.members().find((candidate) => candidate.name === name);
    if (!member) return { type: 'unknown' };
    try {
      const params = { incarnation, attempt };
      const answer = await this.#context.peers.call(member, 'keyAttempt', params, CALL_TIMEOUT_MS);
      return answer as AttemptState;
    } catch {
      return { type: 'unknown' };
    }
  }

  /** @returns the instance that decides claims of a key, if it is an active member */
  #homeOf(route: Route, key: string): Member | undefined {
    const members = this.#context.members();
    if (route !== 'minted') return weightedRendezvous(`keys/${route}`, members);
    const name = instanceOfBootId(MintedKeys.minterOf(key) ?? '');
    return members.find((member) => member.name === name);
  }

  #partition(number: number): KeyPartition {
    const existing = this.#partitions.get(number);
    if (existing) return existing;
    const { log, bootId, nowMs, metrics, memoryMs } = this.#context;
    const partition = new KeyPartition({
      log,
      name: `${bootId}/${number}`,
      stream: `keys-${number}`,
      home: { memoryMs, lingerMs: APPEND_INTERVAL_MS, snapshotEvery: SNAPSHOT_RECORD_COUNT },
      nowMs,
      onAppend: () => metrics.logAppends.inc({ stream: 'keys' }),
    });
    this.#partitions.set(number, partition);
    return partition;
  }
}
