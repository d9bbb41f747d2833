import { MetricsRegistry } from '@chervilseam/observe';

/**
 * What is timed: a request, its time in the queue, to the first event and at an endpoint, a read of the
 * configuration from another instance, a round of placement planning, the time from the decision on a move to
 * the order of its load and until its model can serve, how late the periodic work runs, and the age that the
 * list of endpoints had when it was replaced.
 */
type LatencyName =
  | 'request'
  | 'queue_wait'
  | 'first_event'
  | 'endpoint_hold'
  | 'config_read'
  | 'plan'
  | 'quota_wait'
  | 'move_order'
  | 'move_ready'
  | 'event_loop_lag'
  | 'list_age_max';

/** Metrics of an instance: counters, gauges and latency histograms. */
export class GatewayMetrics extends MetricsRegistry<LatencyName> {
  readonly requests = this.counter('requests_total', 'Requests by outcome.', ['outcome']);
  readonly refusals = this.counter('refusals_total', 'Requests refused, by reason.', ['reason']);
  readonly dispatches = this.counter('dispatches_total', 'Requests sent to endpoints.', []);
  readonly failures = this.counter('attempt_failures_total', 'Attempts that failed.', []);
  readonly attemptEnds = this.counter(
    'attempts_ended_total',
    'Attempts that failed, by who ended them: endpoint, deadline or instance.',
    ['ended_by'],
  );
  readonly cuts = this.counter(
    'cuts_total',
    'Answers that were cut, by whether the instance was stopping and an endpoint at work.',
    ['stopping', 'at_work'],
  );
  readonly signals = this.counter('signals_total', 'Signals that were received.', ['signal']);
  readonly orders = this.counter('orders_total', 'Orders to engines by outcome.', ['outcome']);
  readonly denials = this.counter(
    'denied_requests_total',
    'Requests refused with 401, as they had no API key or one that no workspace holds.',
    [],
  );
  readonly waiting = this.gauge('waiting', 'Requests that wait for a place.', []);
  readonly awaitedModels = this.gauge(
    'models_awaited',
    'Models that requests wait for here and no engine holds.',
    [],
  );
  readonly plannedLoads = this.gauge(
    'loads_planned',
    'Models whose loads are planned or held back here.',
    [],
  );
  readonly returnsDue = this.counter(
    'returns_due_total',
    'Models whose refused callers were due to return, by whether a replica could serve them.',
    ['kept'],
  );
  readonly waitingBodies = this.gauge(
    'bodies_waiting',
    'Requests whose bodies wait unread for memory.',
    [],
  );
  readonly heldBytes = this.gauge(
    'memory_held_bytes',
    'Buffered bytes of requests and answers, by kind.',
    ['kind'],
  );
  readonly evictions = this.counter(
    'memory_evictions_total',
    'Buffered answers that were dropped to stay within the memory budget, by kind.',
    ['kind'],
  );
  readonly shed = this.counter(
    'callers_shed_total',
    'Connections closed, bodies that did not go on given up and large heads refused, to make room for others.',
    ['what'],
  );
  readonly instances = this.gauge('instances', 'Instances that are heard, with this one.', []);
  readonly endpoints = this.gauge('endpoints', 'Endpoints that have not left.', []);
  readonly configVersion = this.gauge('config_version', 'Version in force.', []);
  readonly configVersionReported = this.gauge(
    'config_version_reported',
    'Newest version known of.',
    [],
  );
  readonly configReads = this.counter('config_reads_total', 'Reads of the configuration.', [
    'source',
    'outcome',
  ]);
  readonly leaving = this.counter(
    'endpoints_leaving_total',
    'Endpoints that announced here that they are about to exit.',
    [],
  );
  readonly backoffs = this.counter(
    'endpoint_backoffs_total',
    'Refusals with which endpoints asked to retry later.',
    [],
  );
  readonly engineEnds = this.counter('engine_ends_total', 'Engines that ended under runs.', []);
  readonly withheld = this.counter(
    'withheld_total',
    'Requests withheld, as engines end under them.',
    [],
  );
  readonly suspectParts = this.gauge('suspect_parts', 'Parts of prompts that are suspected.', []);
  readonly withheldParts = this.gauge('withheld_parts', 'Parts of prompts that are withheld.', []);
  readonly storeEra = this.gauge(
    'store_era',
    'Era of the store; rises when it returns from a copy.',
    [],
  );
  readonly listAgeMs = this.gauge('list_age_ms', 'Age of the list of endpoints.', []);
  readonly listUpdates = this.counter(
    'list_updates_total',
    'Updates of the list of endpoints from other instances: applied, current, old, or gap (refused).',
    ['outcome'],
  );
  readonly quotaRequests = this.counter(
    'quota_requests_total',
    'Requests of workspaces with a quota: admitted, exceeded, or unknown (no pool was reached).',
    ['verdict'],
  );
  readonly quotaRefunds = this.counter(
    'quota_refunds_total',
    'Refused requests whose units were given back to their quota, or came too late for that.',
    ['outcome'],
  );
  readonly quotaPools = this.gauge(
    'quota_pools',
    'Workspaces whose units this instance gives to the others of its failure domain.',
    [],
  );
  readonly isQuotaAllocator = this.gauge(
    'quota_allocator',
    'Whether this instance divides the quotas among the pools.',
    [],
  );
  readonly ownedEngines = this.gauge('owned_engines', 'Engines that may be ordered from here.', []);
}
