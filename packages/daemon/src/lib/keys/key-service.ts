import { createHash } from 'node:crypto';
import { instanceOfBootId, MintedKeys, weightedRendezvous } from '@chervilseam/decisions';
import type { KeyClaim, KeyVerdict, Member } from '@chervilseam/decisions';
import type { PeerStream } from '@chervilseam/peer';
import type { LogPort } from '@chervilseam/ports';
import type { Metrics } from '../observe/metrics.js';
import type { PeerNode } from '../peer/peer-node.js';
import { AttemptMemory } from './attempt-memory.js';
import type { AttemptState } from './attempt-memory.js';
import { KeyPartition } from './key-partition.js';

/** All instances must agree on this number for as long as any key is remembered. */
const PARTITION_COUNT = 64;
const LINGER_MS = 400;
const SNAPSHOT_EVERY = 5_000;
const CALL_TIMEOUT_MS = 3_000;
const CLAIM_COUNT_MAX = 4;
const KEY_DIGEST_DIGITS = 32;

type Settlement = Parameters<KeyPartition['settle']>[0];

/** What guarding keys needs around it. */
interface KeyServiceContext {
  readonly log: LogPort;
  readonly peers: PeerNode;
  readonly self: string;
  readonly incarnation: string;
  readonly members: () => readonly Member[];
  readonly metrics: Metrics;
  readonly nowMs: () => number;
  readonly memoryMs: number;
}

type Route = 'minted' | number;

/** A verdict on a claim, and the attempt that it is about. */
interface KeyGrant {
  readonly attempt: string;
  verdict: KeyVerdict | { readonly type: 'running' };
}

/**
 * Sees to it that a request under a key runs at most once. A caller's own key is ordered by the
 * log; a key that the system made is decided by the instance that made it.
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
      const isOurs = incarnation === this.#context.incarnation;
      stream.end(isOurs ? this.#attempts.get(attempt) : { type: 'unknown' });
    },
  };

  readonly #context: KeyServiceContext;
  readonly #attempts = new AttemptMemory();
  readonly #partitions = new Map<number, KeyPartition>();
  readonly #minted: MintedKeys;
  #claimCount = 0;

  /** @param context - log, peers and clock */
  constructor(context: KeyServiceContext) {
    this.#context = context;
    this.#minted = new MintedKeys(context.incarnation, context.memoryMs);
  }

  /** @returns a new key that runs without the log, through this instance alone */
  mint(): string {
    return this.#minted.mint(this.#context.nowMs());
  }

  /** Goes on with what waits for the log. */
  tick(): void {
    this.#partitions.forEach((partition) => partition.pump());
  }

  /** Entries that wait for the log; a count. */
  get pendingCount(): number {
    return [...this.#partitions.values()].reduce((sum, { pendingCount }) => sum + pendingCount, 0);
  }

  /**
   * Asks to run a request under a key.
   *
   * @param caller - whose key it is
   * @param key - the key as it was sent
   * @param digest - digest of the request
   * @returns the verdict, and the one attempt that may be dispatched if it is `granted`
   */
  async claim(caller: string, key: string, digest: string): Promise<KeyGrant> {
    const startedMs = this.#context.nowMs();
    const scoped = KeyService.#scoped(caller, key);
    let grant: KeyGrant = { attempt: '', verdict: { type: 'unordered' } };
    for (let isHomeLost = false, tries = 0; tries < CLAIM_COUNT_MAX; tries += 1) {
      const claim = this.#newClaim(scoped, digest);
      // eslint-disable-next-line no-await-in-loop -- a claim follows from the one before
      const verdict = await this.#route(key, claim, isHomeLost);
      grant = { attempt: claim.attempt, verdict: verdict ?? { type: 'unordered' } };
      if (verdict?.type === 'granted') break;
      this.#attempts.set(claim.attempt, { type: 'abandoned' });
      isHomeLost = verdict === undefined;
      // eslint-disable-next-line no-await-in-loop -- a claim follows from the one before
      if (verdict && !(await this.#isFreedAfter(key, claim, grant))) break;
    }
    this.#context.metrics.observe('key_intent', this.#context.nowMs() - startedMs);
    return grant;
  }

  /**
   * Records what became of an attempt that was granted.
   *
   * @param caller - whose key it is
   * @param key - the key as it was sent
   * @param attempt - the attempt
   * @param state - what became of it
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

  // Keys on the log are digests: they belong to one caller and show nothing of its business.
  static #scoped(caller: string, key: string): string {
    if (MintedKeys.minterOf(key)) return key;
    const text = JSON.stringify([caller, key]);
    return createHash('sha256').update(text).digest('hex').slice(0, KEY_DIGEST_DIGITS);
  }

  static #routeOf(key: string, scoped: string): Route {
    if (MintedKeys.minterOf(key)) return 'minted';
    return Number.parseInt(scoped.slice(0, 8), 16) % PARTITION_COUNT;
  }

  // Each claim has an attempt of its own. A home that loses a claim releases its attempt, perhaps
  // much later: if another home could grant that same attempt, the late release would free a key
  // whose request has run.
  #newClaim(key: string, digest: string): KeyClaim {
    this.#claimCount += 1;
    const { incarnation } = this.#context;
    const attempt = `${incarnation}.k${this.#claimCount}`;
    this.#attempts.set(attempt, { type: 'running' });
    return { key, digest, attempt, dispatcher: incarnation };
  }

  /** @returns whether the key was held by an attempt that never ran, and is free now */
  async #isFreedAfter(key: string, claim: KeyClaim, grant: KeyGrant): Promise<boolean> {
    const { verdict } = grant;
    if (verdict.type !== 'held') return false;
    const held = await this.#askDispatcher(verdict.dispatcher, verdict.attempt);
    if (held.type === 'abandoned') {
      await this.#settle(key, { type: 'release', key: claim.key, attempt: verdict.attempt });
      return true;
    }
    // eslint-disable-next-line no-param-reassign -- the grant is the claim's own
    grant.verdict = held.type === 'ran' ? { ...held, type: 'replay' } : held;
    return false;
  }

  /** @returns the verdict, or `undefined` when the home was lost before it answered */
  async #route(key: string, claim: KeyClaim, isHomeLost: boolean): Promise<KeyVerdict | undefined> {
    const route = KeyService.#routeOf(key, claim.key);
    const target = this.#homeOf(route, key);
    if (route === 'minted') return this.#claimMinted(target, claim);
    if (isHomeLost || !target || target.name === this.#context.self) {
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
    if (MintedKeys.minterOf(claim.key) === this.#context.incarnation) {
      return this.#claimHere('minted', claim);
    }
    if (!target) return { type: 'unknown' };
    const params = { route: 'minted', claim };
    try {
      const answer = await this.#context.peers.call(target, 'keyClaim', params, CALL_TIMEOUT_MS);
      // A later life of the same instance knows nothing of the keys of an earlier one.
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

  async #askDispatcher(incarnation: string, attempt: string): Promise<AttemptState> {
    if (incarnation === this.#context.incarnation) return this.#attempts.get(attempt);
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

  #homeOf(route: Route, key: string): Member | undefined {
    const members = this.#context.members();
    if (route !== 'minted') return weightedRendezvous(`keys/${route}`, members);
    const name = instanceOfBootId(MintedKeys.minterOf(key) ?? '');
    return members.find((member) => member.name === name);
  }

  #partition(number: number): KeyPartition {
    const known = this.#partitions.get(number);
    if (known) return known;
    const { log, incarnation, nowMs, metrics, memoryMs } = this.#context;
    const partition = new KeyPartition({
      log,
      name: `${incarnation}/${number}`,
      stream: `keys-${number}`,
      home: { memoryMs, lingerMs: LINGER_MS, snapshotEvery: SNAPSHOT_EVERY },
      nowMs,
      onAppend: () => metrics.logAppends.inc({ stream: 'keys' }),
    });
    this.#partitions.set(number, partition);
    return partition;
  }
}
