import { canonicalDigest, configSchemas } from '@chervilseam/model';
import type { ConfigChange, ConfigKind } from '@chervilseam/model';
import { configReferences } from './config-references.js';
import type { ConfigDecision } from './config-decision.js';
import type { ConfigObject } from './config-object.js';
import type { ConfigRecord } from './config-record.js';
import type { ConfigSnapshot } from './config-snapshot.js';

/** Number of record ids that are kept to recognize duplicates; the oldest are dropped. */
const RECENT_ID_COUNT_MAX = 4_000;
/** Number of decisions that are kept; the oldest are dropped. */
const HISTORY_COUNT_MAX = 1_000;

interface Rejection {
  readonly reason: string;
  readonly winnerOffset: number;
}

const keyOf = ({ kind, name }: { kind: string; name: string }): string => `${kind}/${name}`;

/**
 * The configuration as a pure function of the records of its stream in offset order. All instances
 * and operator tools that fold the same records accept and reject the same ones.
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

  /** Hash chain over all decisions so far; at the same offset it is equal on every instance. */
  get chain(): string {
    return this.#chain;
  }

  /** The active objects, by `kind/name`. */
  get objects(): ReadonlyMap<string, ConfigObject> {
    return this.#objects;
  }

  /** The latest decisions, oldest first. */
  get history(): readonly ConfigDecision[] {
    return this.#history;
  }

  /**
   * Creates a fold that continues from a snapshot.
   *
   * @param snapshot - a snapshot, usually of another instance
   * @returns the fold, or `undefined` when the snapshot's digest does not match
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

  /** @returns the complete state with its digest */
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
   * @param offset - its offset, which must be that of the last record plus 1
   * @param value - the record as it was read; anything else than a configuration record is ignored
   * @returns the decision, or `undefined` when the value is not a configuration record
   * @throws RangeError when the offset is not that of the last record plus 1
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
    if (decision.isAccepted) this.#applyChanges(offset, record);
    this.#addDecision(decision);
    return decision;
  }

  #applyChanges(offset: number, { author, changes }: ConfigRecord & { type: 'config' }): void {
    changes.forEach(({ kind, name, body }) => {
      if (body === null) this.#objects.delete(keyOf({ kind, name }));
      else this.#objects.set(keyOf({ kind, name }), { kind, name, revision: offset, author, body });
    });
  }

  #addDecision(decision: ConfigDecision): void {
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
      this.#firstRejection(record.changes, (change) => this.#rejectStaleRevision(change)) ??
      this.#firstRejection(record.changes, ConfigFold.#rejectInvalidBody) ??
      this.#rejectBrokenReference(record.changes)
    );
  }

  // eslint-disable-next-line class-methods-use-this -- kept next to the method that calls it
  #firstRejection(
    changes: readonly ConfigChange[],
    check: (change: ConfigChange) => Rejection | undefined,
  ): Rejection | undefined {
    return changes.map(check).find((rejection) => rejection !== undefined);
  }

  #rejectStaleRevision(change: ConfigChange): Rejection | undefined {
    const revision = this.#objects.get(keyOf(change))?.revision ?? 0;
    if (revision === change.baseRevision) return undefined;
    const reason = `${keyOf(change)} was based on revision ${change.baseRevision}, now ${revision}`;
    return { reason, winnerOffset: revision };
  }

  // Objects of a kind that this version does not know are not validated: newer instances may know
  // it.
  static #rejectInvalidBody({ kind, name, body }: ConfigChange): Rejection | undefined {
    if (body === null || !Object.hasOwn(configSchemas, kind)) return undefined;
    const result = configSchemas[kind as ConfigKind].safeParse(body);
    if (result.success && body.name === name) return undefined;
    return { reason: `${kind}/${name} has an invalid body`, winnerOffset: 0 };
  }

  #rejectBrokenReference(changes: readonly ConfigChange[]): Rejection | undefined {
    const changed = new Map(changes.map((change) => [keyOf(change), change.body]));
    const bodyOf = (key: string): ConfigChange['body'] =>
      changed.has(key) ? (changed.get(key) ?? null) : (this.#objects.get(key)?.body ?? null);
    // Only a deletion can break references from objects that the record does not change, so those
    // objects are checked only then.
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
