import { matchesSelector } from '@chervilseam/model';
import type { ConfigView } from '../config/config-view.js';
import type { DomainLedger } from '../memory/domain-ledger.js';
import { modelOfItem } from '../memory/model-of-item.js';
import type { PlacementInput } from './placement-input.js';

/** Assumed throughput of an engine for which none was measured yet, in tokens per second. */
const DEFAULT_TOKENS_PER_SECOND = 500;

/** Name of a model's version in orders to engines and in their reports. */
const modelItem = (name: string, version: string): string => `model/${name}@${version}`;

/** Derives the input of placement from the configuration and the failure domain's ledger. */
export class PlacementView {
  readonly #view: ConfigView;
  readonly #ledger: DomainLedger;
  readonly #failureDomain: string;

  /**
   * @param view - the configuration in force
   * @param ledger - the failure domain's ledger
   * @param failureDomain - name of the failure domain
   */
  constructor(view: ConfigView, ledger: DomainLedger, failureDomain: string) {
    this.#view = view;
    this.#ledger = ledger;
    this.#failureDomain = failureDomain;
  }

  /** Names of the engines of the failure domain. */
  get engineNames(): readonly string[] {
    return [...this.#view.endpoints]
      .filter(
        ([, { driver, failureDomain }]) =>
          driver === 'engine' && failureDomain === this.#failureDomain,
      )
      .map(([name]) => name);
  }

  /**
   * @param model - name of a model
   * @returns whether a policy keeps the model resident
   */
  mustStayResident(model: string): boolean {
    const labels = this.#view.models.get(model)?.labels ?? {};
    return [...this.#view.policies.values()].some(
      ({ resident, models }) => resident === true && models && matchesSelector(models, labels),
    );
  }

  /**
   * @param model - name of a model
   * @returns the item to load for the model and its size in bytes, or `undefined` for an unknown
   *   model
   */
  itemOf(model: string): { readonly item: string; readonly bytes: number } | undefined {
    const found = this.#view.models.get(model);
    if (!found) return undefined;
    const bytes = found.weightsBytes + found.kvReserveBytes;
    return { item: modelItem(model, found.version), bytes };
  }

  /**
   * @param moveBudget - largest number of moves that may begin in this round
   * @param isUsable - whether models may be placed on an engine
   * @returns input of the placement round, with the usable engines that have reported
   */
  input(moveBudget: number, isUsable: (endpoint: string) => boolean): PlacementInput {
    const { demand } = this.#ledger;
    return {
      models: [...this.#view.models.values()].map(({ name, weightsBytes, kvReserveBytes }) => ({
        name,
        bytes: weightsBytes + kvReserveBytes,
        mustStayResident: this.mustStayResident(name),
        demand: demand.get(name) ?? 0,
      })),
      engines: this.engineNames
        .filter((name) => isUsable(name) && this.#ledger.engine(name).isObserved)
        .map((name) => this.#engine(name)),
      moveBudget,
    };
  }

  #engine(name: string): PlacementInput['engines'][number] {
    const ledger = this.#ledger.engine(name);
    const ready = this.#modelsAtConfiguredVersion(Object.keys(ledger.state.residents)).filter(
      (model) => ledger.isReady(this.itemOf(model)?.item ?? ''),
    );
    const loadingItems = ledger.liveOrders
      .filter(({ action, state, issuer }) => {
        // A load counts as a future replica only if its order may still arrive or was settled by
        // the engine, and only if this owner reserved it: whether a previous owner ever sent its
        // order is unknown. All other loads count as used memory until a report shows their effect.
        const canBecomeReplica = state === 'open' || state === 'settled';
        return canBecomeReplica && action === 'load' && issuer === ledger.state.incarnation;
      })
      .map(({ item }) => item);
    const models = [...new Set([...ready, ...this.#modelsAtConfiguredVersion(loadingItems)])];
    const countedBytes = models.reduce((sum, model) => sum + (this.itemOf(model)?.bytes ?? 0), 0);
    return {
      name,
      capacityBytes: this.#view.endpoints.get(name)?.memoryBytes ?? 0,
      tokensPerSecond: ledger.state.tokensPerSecond || DEFAULT_TOKENS_PER_SECOND,
      models,
      ready,
      otherBytes: Math.max(0, ledger.worstBytes - countedBytes),
    };
  }

  // Only the configured version of a model counts as a replica. An old version goes on serving, but
  // the configured one is placed as if the old one were not resident, and replaces it once it is
  // ready.
  #modelsAtConfiguredVersion(items: readonly string[]): string[] {
    return items
      .flatMap((item) => modelOfItem(item) ?? [])
      .filter((model) => items.includes(this.itemOf(model)?.item ?? ''));
  }
}
