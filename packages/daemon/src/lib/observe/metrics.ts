import { MetricsRegistry } from '@chervilseam/observe';

/** Name of a latency histogram. */
type LatencyName = 'request' | 'first_token' | 'queue' | 'peer_hop' | 'key_intent';

/** Counters, gauges and latency histograms of an instance. */
export class Metrics extends MetricsRegistry<LatencyName> {
  readonly requests = this.counter('requests_total', 'Answers by outcome and code.', [
    'outcome',
    'code',
  ]);

  readonly attempts = this.counter('attempts_total', 'Dispatches by result.', ['result']);
  readonly droppedAnswers = this.counter(
    'dropped_answers_total',
    'Late or crossed answers dropped.',
    [],
  );
  readonly alarms = this.counter('alarms_total', 'Alarms by code.', ['code']);
  readonly peerBytes = this.counter('peer_bytes_total', 'Bytes of peer streams.', ['direction']);
  readonly heartbeatBytes = this.counter('member_bytes_total', 'Bytes of heartbeats.', [
    'direction',
  ]);
  readonly logAppends = this.counter('log_appends_total', 'Appends by stream.', ['stream']);
  readonly orders = this.counter('orders_total', 'Orders to engines by result.', ['result']);
  readonly running = this.gauge('running', 'Requests that run, by endpoint.', ['endpoint']);
  readonly waiting = this.gauge('waiting', 'Requests that wait, by endpoint.', ['endpoint']);
  readonly members = this.gauge('members', 'Members by state.', ['state']);
  readonly configOffset = this.gauge('config_offset', 'Offset of the configuration.', []);
  readonly platformDown = this.gauge('platform_down', '1 while a service is down.', ['service']);
}
