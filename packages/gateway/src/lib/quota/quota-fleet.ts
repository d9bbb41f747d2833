import { hashOf, quotaTimes } from '@chervilseam/decisions';
import type { GatewaySettings } from '../gateway-settings.js';
import type { GroupMember } from '../owner/group-member.js';
import type { PeerTable } from '../peer/peer-table.js';
import type { QuotaPeer } from './quota-peer.js';

/** Name whose share entitles its owner to divide the quotas. */
const QUOTA_SHARE_NAME = 'quotas';

/** Dependencies of the view. */
interface QuotaFleetContext {
  readonly settings: GatewaySettings;
  readonly nowMs: () => number;
  readonly peers: PeerTable;
  readonly member: GroupMember;
  readonly isStopping: () => boolean;
  /** Age of this process in milliseconds, as it is published. */
  readonly uptimeMs: () => number;
  /** Whether this instance holds leases of quotas. */
  readonly hasLeases: () => boolean;
  /** Whether the owner of every share is known and reachable. */
  readonly knowsOwners: () => boolean;
}

/** What this instance knows of the instances that keep quotas: the owners of shares. */
export class QuotaFleet {
  readonly #context: QuotaFleetContext;
  readonly #share: number;

  /** @param context - dependencies of the view */
  constructor(context: QuotaFleetContext) {
    this.#context = context;
    this.#share = hashOf(QUOTA_SHARE_NAME) % context.settings.shareCount;
  }

  /** Instances that own shares and do not stop, this one included if it is one. */
  get owners(): readonly QuotaPeer[] {
    const { peers, member, nowMs, isStopping } = this.#context;
    const others = peers
      .fresh(nowMs())
      .filter((state) => state.shares.length > 0 && !state.isStopping);
    const isOwner = member.shares.length > 0 && !isStopping();
    return isOwner ? [...others, this.#ownPeer] : others;
  }

  /** The instance that divides the quotas, as far as it is known. */
  get allocator(): QuotaPeer | undefined {
    const { peers, nowMs } = this.#context;
    return this.#ownsShare ? this.#ownPeer : peers.ownerOf(this.#share, nowMs());
  }

  /** Whether the store has assigned this instance the share whose owner divides the quotas. */
  get isAllocator(): boolean {
    return this.#ownsShare && !this.#context.member.hasLapsed;
  }

  /**
   * Whether no lease of a quota can go on that is known of here: every owner of a share has started only now and holds
   * none, and all of them know the same owners, so that no other one divides the quotas.
   */
  get isFresh(): boolean {
    const { peers, nowMs, uptimeMs, hasLeases, knowsOwners } = this.#context;
    const own = { uptimeMs: uptimeMs(), hasQuotaLeases: hasLeases() };
    const all = [own, ...peers.fresh(nowMs())];
    const areNew = all.every(
      (state) => state.uptimeMs < quotaTimes.leaseMs && !state.hasQuotaLeases,
    );
    return areNew && knowsOwners() && this.#isGenerationAgreed;
  }

  // Whether all owners of shares know the generation of the group that this instance knows.
  get #isGenerationAgreed(): boolean {
    const { peers, member, nowMs } = this.#context;
    return peers
      .fresh(nowMs())
      .every(({ shares, generation }) => shares.length === 0 || generation === member.generation);
  }

  get #ownsShare(): boolean {
    return this.#context.member.shares.includes(this.#share);
  }

  get #ownPeer(): QuotaPeer {
    const { instance, failureDomain, processorShare, peerAddress } = this.#context.settings;
    return { instance, failureDomain, processorShare, ...peerAddress };
  }
}
