import { eraNumber } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import verror from 'verror';
import type { ConfigPage } from '../ports/config-page.js';
import type { EndpointPage } from '../ports/endpoint-page.js';
import type { StateStore } from '../ports/state-store.js';

/** Dependencies of the store. */
interface EraCheckedStoreContext {
  readonly store: StateStore;
  readonly logger: PartLogger;
  /** Called with the era of the first answer, and whenever the store has come back from a copy. */
  readonly onEra: (era: number) => void;
}

/**
 * The platform's store, which starts a new era when it comes back from a copy, in which records that it had acknowledged are
 * missing. An answer of an earlier era than the latest one was given before the store went away, and counts as a failure.
 */
export class EraCheckedStore implements StateStore {
  readonly #context: EraCheckedStoreContext;
  #era: number | undefined;

  /** @param context - dependencies of the store */
  constructor(context: EraCheckedStoreContext) {
    this.#context = context;
  }

  /** Reads the configuration. */
  async readConfig(fromOffset: number | undefined, waitMs: number): Promise<ConfigPage> {
    const page = await this.#context.store.readConfig(fromOffset, waitMs);
    this.#note(page.nextOffset);
    return page;
  }

  /** Reads the list of endpoints. */
  async readEndpoints(fromOffset: number | undefined): Promise<EndpointPage> {
    const page = await this.#context.store.readEndpoints(fromOffset);
    this.#note(page.nextOffset);
    return page;
  }

  /** Joins the group, or renews the membership. */
  async join(...args: Parameters<StateStore['join']>): ReturnType<StateStore['join']> {
    const answer = await this.#context.store.join(...args);
    this.#note(answer.generation);
    return answer;
  }

  /** Leaves the group. */
  leave(member: string): Promise<void> {
    return this.#context.store.leave(member);
  }

  /** @returns names of the members that own shares */
  members(): Promise<readonly string[]> {
    return this.#context.store.members();
  }

  #note(number: number): void {
    const era = eraNumber.eraOf(number);
    const previous = this.#era;
    if (era === previous) return;
    if (previous !== undefined && era < previous) {
      throw new verror.VError('answer of era %d of the store, which is in era %d', era, previous);
    }
    this.#era = era;
    this.#context.onEra(era);
    if (previous === undefined) return;
    const text = 'the store has come back from a copy; what the copy lacks stays in force';
    this.#context.logger.warn('store_era', text, { era, previous });
  }
}
