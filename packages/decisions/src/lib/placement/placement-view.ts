import { matchesSelector } from '@chervilseam/model';
import type { ConfigView } from '../config/config-view.js';
import type { DomainLedger } from '../memory/domain-ledger.js';
import { modelOfItem } from '../memory/model-of-item.js';
import type { PlacementInput } from './placement-input.js';

const DEFAULT_TOKENS_PER_SECOND = 500;

/** Item of a model's version, as engines name it. */
const modelItem = (name: string, version: string): string => `model/${name}@${version}`;

/** Reads configuration and ledger as placement needs them. */
export class PlacementView {
  readonly #view: ConfigView;
  readonly #ledger: DomainLedger;
  readonly #failureDomain: string;

  /**
   * @param view - the configuration in force
   * @param ledger - the failure domain's ledger
   * @param failureDomain - the failure domain
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
   * @returns whether a policy asks to keep it resident
   */
  isLabelled(model: string): boolean {
    const labels = this.#view.models.get(model)?.labels ?? {};
    return [...this.#view.policies.values()].some(
      ({ resident, models }) => resident === true && models && matchesSelector(models, labels),
    );
  }

  /**
   * @param model - name of a model
   * @returns the item to load for it, with its bytes
   */
  itemOf(model: string): { readonly item: string; readonly bytes: number } | undefined {
    const found = this.#view.models.get(model);
    if (!found) return undefined;
    const bytes = found.weightsBytes + found.kvReserveBytes;
    return { item: modelItem(model, found.version), bytes };
  }

  /**
   * @param moveBudget - moves that may be begun in this round; a count
   * @param isUsable - whether an engine may be given models
   * @returns what planning starts from
   */
  input(moveBudget: number, isUsable: (endpoint: string) => boolean): PlacementInput {
    const { demand } = this.#ledger;
    return {
      models: [...this.#view.models.values()].map(({ name, weightsBytes, kvReserveBytes }) => ({
        name,
        bytes: weightsBytes + kvReserveBytes,
        isLabelled: this.isLabelled(name),
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
    const ready = this.#wantedModels(Object.keys(ledger.state.residents)).filter((model) =>
      ledger.isReady(this.itemOf(model)?.item ?? ''),
    );
    const coming = ledger.liveOrders
      .filter(({ action, state, issuer }) => {
        // A load that can arrive no more still holds memory but will never serve; one of a former
        // owner holds memory as well, and whether it was ever sent nobody here knows.
        const isComing = state === 'open' || state === 'settled';
        return isComing && action === 'load' && issuer === ledger.state.incarnation;
      })
      .map(({ item }) => item);
    const models = [...new Set([...ready, ...this.#wantedModels(coming)])];
    const counted = models.reduce((sum, model) => sum + (this.itemOf(model)?.bytes ?? 0), 0);
    return {
      name,
      capacityBytes: this.#view.endpoints.get(name)?.memoryBytes ?? 0,
      tokensPerSecond: ledger.state.tokensPerSecond || DEFAULT_TOKENS_PER_SECOND,
      models,
      ready,
      otherBytes: Math.max(0, ledger.worstBytes - counted),
    };
  }

  // An old version serves on but is no replica: the wanted version is placed as if it were not
  // there, and takes its place once it is ready.
  #wantedModels(items: readonly string[]): string[] {
    return items
      .flatMap((item) => modelOfItem(item) ?? [])
      .filter((model) => items.includes(this.itemOf(model)?.item ?? ''));
  }
}
