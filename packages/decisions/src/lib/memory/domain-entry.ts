import type { FoldSnapshot } from '../journal/recovering-fold.js';
import type { DomainState } from './domain-state.js';

/**
 * An entry of the log stream of one failure domain: ownership, orders and reports of its engines.
 */
export type DomainEntry =
  | {
      readonly id: string;
      /** An instance claims the ownership of an engine. */
      readonly type: 'claim';
      readonly endpoint: string;
      readonly owner: string;
      /** Unique id of the owner's run, from process start to exit. */
      readonly incarnation: string;
      /** Fencing token (log offset) of the claim that this one replaces; 0 for none. */
      readonly baseFence: number;
    }
  | {
      /** Also the id of the order. */
      readonly id: string;
      /** The owner reserves memory for an order before it sends the order to the engine. */
      readonly type: 'reserve';
      readonly endpoint: string;
      /** Fencing token of the claim that the order is based on. */
      readonly fence: number;
      /** `fence` only makes the engine refuse orders with a lower fencing token. */
      readonly action: 'load' | 'unload' | 'fence';
      readonly item: string;
      readonly bytes: number;
      readonly capacityBytes: number;
      /** Whether the engine refuses orders with an outdated fencing token. */
      readonly checksFencing: boolean;
      /** Whether the order may remove the model's last replica in the failure domain. */
      readonly mayVanish: boolean;
      /** Largest number of model loads that may be reserved per second in the failure domain. */
      readonly loadsPerSecond: number;
      /** Largest number of adapter loads that may be open at a time in the failure domain. */
      readonly adapterLoadsMax: number;
      /** Why the order is given, shown to operators. */
      readonly reason: string;
    }
  | {
      readonly id: string;
      /** The engine answered an order. */
      readonly type: 'settle';
      readonly endpoint: string;
      readonly order: string;
      readonly result: 'done' | 'refused';
    }
  | {
      readonly id: string;
      /** No copy of the order can arrive at the engine any more. */
      readonly type: 'quiet';
      readonly endpoint: string;
      readonly order: string;
      /** Fencing token of the latest claim that the writer of this entry had read. */
      readonly fence: number;
      /** Id of the run of the instance that writes this entry. */
      readonly incarnation: string;
      /**
       * `neverSent`: the issuer never sent the order; `time`: the longest delivery delay has
       * passed; `issuerGone`: the run of the instance that could send it is over.
       */
      readonly reason: 'neverSent' | 'time' | 'issuerGone';
    }
  | {
      readonly id: string;
      /** An engine reported its state to its owner. */
      readonly type: 'observe';
      readonly endpoint: string;
      /** Fencing token of the owner's claim. */
      readonly fence: number;
      /** Unique id of the engine's run, from process start to exit. */
      readonly bootId: string;
      /** Bytes of each resident item, by name. */
      readonly residents: Readonly<Record<string, number>>;
      /** Ids of the reserved orders that the engine reported as settled. */
      readonly settledOrders: readonly string[];
      /**
       * Throughput at the target time between tokens, in tokens per second, as the owner measured
       * it.
       */
      readonly tokensPerSecond?: number;
      /** Whether the engine refuses orders with an outdated fencing token. */
      readonly checksFencing: boolean;
    }
  | {
      readonly id: string;
      /** The demand for each model that one instance measured, in tokens per second. */
      readonly type: 'demand';
      readonly instance: string;
      /** Whether a missing model has no demand; otherwise its demand is unchanged. */
      readonly isWhole: boolean;
      readonly tokensPerSecond: Readonly<Record<string, number>>;
    }
  | {
      readonly id: string;
      readonly type: 'snapshot';
      readonly snapshot: FoldSnapshot<DomainState>;
    };
