import type { FoldSnapshot } from '../journal/recovering-fold.js';
import type { DomainState } from './domain-state.js';

/** An entry of the stream of one failure domain: who owns its engines, and what they may hold. */
export type DomainEntry =
  | {
      readonly id: string;
      readonly type: 'claim';
      readonly endpoint: string;
      readonly owner: string;
      /** Unique name of the owner's life. */
      readonly incarnation: string;
      /** Fencing number of the claim that this one follows; 0 for none. */
      readonly baseFence: number;
    }
  | {
      /** Also the id of the order. */
      readonly id: string;
      readonly type: 'reserve';
      readonly endpoint: string;
      readonly fence: number;
      readonly action: 'load' | 'unload' | 'fence';
      readonly item: string;
      readonly bytes: number;
      readonly capacityBytes: number;
      /** Whether the engine refuses orders with an old number. */
      readonly checksFencing: boolean;
      /** Whether no replica need be left elsewhere. */
      readonly mayVanish: boolean;
      /** Model loads that may be reserved in a second, in the whole domain. */
      readonly loadsPerSecond: number;
      /** Adapter loads that may be under way at once, in the whole domain; a count. */
      readonly adapterLoadsMax: number;
      /** Why, for operators. */
      readonly reason: string;
    }
  | {
      readonly id: string;
      readonly type: 'settle';
      readonly endpoint: string;
      readonly order: string;
      readonly result: 'done' | 'refused';
    }
  | {
      readonly id: string;
      /** No copy of the order can reach the engine any more. */
      readonly type: 'quiet';
      readonly endpoint: string;
      readonly order: string;
      readonly fence: number;
      readonly incarnation: string;
      readonly reason: 'neverSent' | 'time' | 'issuerGone';
    }
  | {
      readonly id: string;
      /** What an engine reported of itself. */
      readonly type: 'observe';
      readonly endpoint: string;
      readonly fence: number;
      readonly bootId: string;
      readonly residents: Readonly<Record<string, number>>;
      readonly settledOrders: readonly string[];
      /** Tokens a second that the engine makes at the target's pace, as its owner measured. */
      readonly tokensPerSecond?: number;
      /** Whether the engine refuses orders with an old number. */
      readonly checksFencing: boolean;
    }
  | {
      readonly id: string;
      /** Tokens a second that were wanted of each model, as one owner saw it. */
      readonly type: 'demand';
      readonly instance: string;
      /** Whether models left out are not wanted; otherwise they are as they were. */
      readonly isWhole: boolean;
      readonly tokensPerSecond: Readonly<Record<string, number>>;
    }
  | {
      readonly id: string;
      readonly type: 'snapshot';
      readonly snapshot: FoldSnapshot<DomainState>;
    };
