import { canonicalDigest, configSchemas } from '@chervilseam/model';
import type { ConfigChange, ConfigKind } from '@chervilseam/model';
import { configReferences } from './config-references.js';
import type { ConfigDecision } from './config-decision.js';
import type { ConfigObject } from './config-object.js';
import type { ConfigRecord } from './config-record.js';
import type { ConfigSnapshot } from './config-snapshot.js';

const RECENT_ID_COUNT_MAX = 4_000;
const HISTORY_COUNT_MAX = 1_000;

interface Rejection {
  readonly reason: string;
  readonly winnerOffset: number;
}

const keyOf = ({ kind, name }: { kind: string; name: string }): string => `${kind}/${name}`;

/**
 * The configuration as a pure function of its records in offset order. Every instance and every
 * operator program that folds the same records accepts and rejects the same ones.
 */
export class ConfigFold {
  #offset = 0;
  #chain = '';
  readonly #objects = new Map<string, ConfigObject>();
  readonly #recentIds = new Set<string>();
  #history: ConfigDecision[] = [];

  /** Offset of the last record that was folded. */
  get offset(): number {
    return this.#offset;
  }

  /** Digest chained over all decisions so far: equal at equal offsets everywhere. */
  get chain(): string {
    return this.#chain;
  }

  /** The objects in force, by `kind/name`. */
  get objects(): ReadonlyMap<string, ConfigObject> {
    return this.#objects;
  }

  /** The latest decisions, oldest first. */
  get history(): readonly ConfigDecision[] {
    return this.#history;
  }

  /**
   * Takes a state as its start.
   *
   * @param snapshot - a snapshot of another fold
   * @returns the fold, or `undefined` when the snapshot's digest is wrong
   */
  static fromSnapshot(snapshot: ConfigSnapshot): ConfigFold | undefined {
    const { digest, ...state } = snapshot;
    if (canonicalDigest(state) !== digest) return undefined;
    const fold = new ConfigFold();
    fold.#offset = state.offset;
    fold.#chain = state.chain;
    state.objects.forEach((object) => fold.#objects.set(keyOf(object), object));
    state.recentIds.forEach((id) => fold.#recentIds.add(id));
    fold.#history = [...state.history];
    return fold;
  }

  /** @returns the whole state, with its digest */
  snapshot(): ConfigSnapshot {
    const objects = [...this.#objects.values()];
    objects.sort((left, right) => (keyOf(left) < keyOf(right) ? -1 : 1));
    const state = {
      offset: this.#offset,
      chain: this.#chain,
      objects,
      recentIds: [...this.#recentIds],
      history: this.#history,
    };
    return { ...state, digest: canonicalDigest(state) };
  }

  /**
   * Folds the next record.
   *
   * @param offset - its offset, which must be the next one
   * @param value - the record as it was read; a value that is no record changes nothing
   * @returns the decision, or `undefined` when the record asks for none
   * @throws RangeError when the offset is not the next one
   */
  apply(offset: number, value: unknown): ConfigDecision | undefined {
    if (offset !== this.#offset + 1) {
      throw new RangeError(`offset ${offset} does not follow ${this.#offset}`);
    }
    this.#offset = offset;
    const record = value as ConfigRecord | null;
    if (record?.type !== 'config' || !Array.isArray(record.changes)) return undefined;
    const rejection = this.#reject(record);
    const decision: ConfigDecision = {
      offset,
      id: record.id,
      author: record.author,
      isAccepted: rejection === undefined,
      reason: rejection?.reason ?? '',
      keys: record.changes.map(keyOf),
      winnerOffset: rejection?.winnerOffset ?? 0,
    };
    if (decision.isAccepted) this.#commit(offset, record);
    this.#remember(decision);
    return decision;
  }

  #commit(offset: number, { author, changes }: ConfigRecord & { type: 'config' }): void {
    changes.forEach(({ kind, name, body }) => {
      if (body === null) this.#objects.delete(keyOf({ kind, name }));
      else this.#objects.set(keyOf({ kind, name }), { kind, name, revision: offset, author, body });
    });
  }

  #remember(decision: ConfigDecision): void {
    this.#chain = canonicalDigest([this.#chain, decision]);
    this.#recentIds.add(decision.id);
    if (this.#recentIds.size > RECENT_ID_COUNT_MAX) {
      const [oldest] = this.#recentIds;
      this.#recentIds.delete(oldest);
    }
    this.#history = [...this.#history.slice(1 - HISTORY_COUNT_MAX), decision];
  }

  #reject(record: ConfigRecord & { type: 'config' }): Rejection | undefined {
    if (this.#recentIds.has(record.id)) return { reason: 'duplicate record id', winnerOffset: 0 };
    return (
      this.#firstRejection(record.changes, (change) => this.#rejectStale(change)) ??
      this.#firstRejection(record.changes, ConfigFold.#rejectBody) ??
      this.#rejectReferences(record.changes)
    );
  }

  // eslint-disable-next-line class-methods-use-this -- reads best beside its users
  #firstRejection(
    changes: readonly ConfigChange[],
    check: (change: ConfigChange) => Rejection | undefined,
  ): Rejection | undefined {
    return changes.map(check).find((rejection) => rejection !== undefined);
  }

  #rejectStale(change: ConfigChange): Rejection | undefined {
    const revision = this.#objects.get(keyOf(change))?.revision ?? 0;
    if (revision === change.baseRevision) return undefined;
    const reason = `${keyOf(change)} was based on revision ${change.baseRevision}, now ${revision}`;
    return { reason, winnerOffset: revision };
  }

  // Kinds that this version does not know are kept as they are: a newer instance may know them.
  static #rejectBody({ kind, name, body }: ConfigChange): Rejection | undefined {
    if (body === null || !Object.hasOwn(configSchemas, kind)) return undefined;
    const result = configSchemas[kind as ConfigKind].safeParse(body);
    if (result.success && body.name === name) return undefined;
    return { reason: `${kind}/${name} has an invalid body`, winnerOffset: 0 };
  }

  #rejectReferences(changes: readonly ConfigChange[]): Rejection | undefined {
    const changed = new Map(changes.map((change) => [keyOf(change), change.body]));
    const bodyOf = (key: string): ConfigChange['body'] =>
      changed.has(key) ? (changed.get(key) ?? null) : (this.#objects.get(key)?.body ?? null);
    // Only a deletion can break the references of objects that the record does not change.
    const hasDeletion = changes.some(({ body }) => body === null);
    const keys = new Set([...(hasDeletion ? this.#objects.keys() : []), ...changed.keys()]);
    const broken = [...keys].flatMap((key) => {
      const body = bodyOf(key);
      const references = body === null ? [] : configReferences(key.split('/')[0], body);
      return references.filter((target) => bodyOf(target) === null).map((to) => `${key} to ${to}`);
    });
    if (broken.length === 0) return undefined;
    return { reason: `broken reference from ${broken[0]}`, winnerOffset: 0 };
  }
}
