/**
 * Pure decisions: state in, event in, actions out. Clocks and random numbers are arguments.
 *
 * @packageDocumentation
 */
export { loadChart } from './lib/chart/load-chart.js';
export type { StateChart } from './lib/chart/state-chart.js';
export type { ConfigDecision } from './lib/config/config-decision.js';
export { ConfigFold } from './lib/config/config-fold.js';
export type { ConfigObject } from './lib/config/config-object.js';
export type { ConfigRecord } from './lib/config/config-record.js';
export type { ConfigSnapshot } from './lib/config/config-snapshot.js';
export { ConfigView } from './lib/config/config-view.js';
export { EndpointControl } from './lib/limits/endpoint-control.js';
export { EndpointQueue } from './lib/limits/endpoint-queue.js';
export type { QueueTicket } from './lib/limits/queue-ticket.js';
export { RetryBudget } from './lib/limits/retry-budget.js';
export { TokenBucket } from './lib/limits/token-bucket.js';
export { defaultMembershipSettings } from './lib/membership/default-membership-settings.js';
export { MemberState } from './lib/membership/member-state.js';
export type { Member } from './lib/membership/member.js';
export type { MembershipMessage } from './lib/membership/membership-message.js';
export { instanceOfLife } from './lib/membership/instance-of-life.js';
export { Membership } from './lib/membership/membership.js';
export type { Rumor } from './lib/membership/rumor.js';
export { weightedRendezvous } from './lib/ownership/weighted-rendezvous.js';
export { Random } from './lib/random.js';
export { classifyRequest } from './lib/request/classify-request.js';
export type { RequestClass } from './lib/request/request-class.js';
export type { RequestTarget } from './lib/request/request-target.js';
export type { EndpointFact } from './lib/routing/endpoint-fact.js';
export type { EndpointLoad } from './lib/routing/endpoint-load.js';
export { RouteTable } from './lib/routing/route-table.js';
export type { KeyClaim } from './lib/keys/key-claim.js';
export type { KeyEntry } from './lib/keys/key-entry.js';
export { KeyHome } from './lib/keys/key-home.js';
export type { KeyVerdict } from './lib/keys/key-verdict.js';
export { MintedKeys } from './lib/keys/minted-keys.js';
export type { DomainEntry } from './lib/memory/domain-entry.js';
export { DomainLedger } from './lib/memory/domain-ledger.js';
export type { EngineLedger } from './lib/memory/engine-ledger.js';
export { modelOfItem } from './lib/memory/model-of-item.js';
export { Journal } from './lib/journal/journal.js';
export { SnapshotTimer } from './lib/journal/snapshot-timer.js';
export { DemandEstimate } from './lib/placement/demand-estimate.js';
export type { PlacementInput } from './lib/placement/placement-input.js';
export type { PlacementMove } from './lib/placement/placement-move.js';
export { PlacementView } from './lib/placement/placement-view.js';
export type { PlacementPlan } from './lib/placement/placement-plan.js';
export { planPlacement } from './lib/placement/plan-placement.js';
