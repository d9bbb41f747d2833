import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

const HIGHEST_MS = 3_600_000;
const PERCENTILES = [50, 95, 99, 99.9];
const MICROSECONDS_PER_MS = 1_000;

type LatencyName = 'request' | 'first_token' | 'queue' | 'peer_hop' | 'key_intent';

/** Counters, gauges and latencies of an instance, as Prometheus text. */
export class Metrics {
  readonly registry = new Registry();
  readonly requests = this.#counter('requests_total', 'Answers by outcome and code.', [
    'outcome',
    'code',
  ]);

  readonly attempts = this.#counter('attempts_total', 'Dispatches by result.', ['result']);
  readonly dropped = this.#counter('dropped_answers_total', 'Late or crossed answers dropped.', []);
  readonly alarms = this.#counter('alarms_total', 'Alarms by code.', ['code']);
  readonly peerBytes = this.#counter('peer_bytes_total', 'Bytes of peer streams.', ['direction']);
  readonly memberBytes = this.#counter('member_bytes_total', 'Bytes of heartbeats.', ['direction']);
  readonly logAppends = this.#counter('log_appends_total', 'Appends by stream.', ['stream']);
  readonly orders = this.#counter('orders_total', 'Orders to engines by result.', ['result']);
  readonly running = this.#gauge('running', 'Requests that run, by endpoint.', ['endpoint']);
  readonly waiting = this.#gauge('waiting', 'Requests that wait, by endpoint.', ['endpoint']);
  readonly members = this.#gauge('members', 'Members by state.', ['state']);
  readonly configOffset = this.#gauge('config_offset', 'Offset of the configuration.', []);
  readonly platformDown = this.#gauge('platform_down', '1 while a service is down.', ['service']);
  readonly #latencies = new Map<LatencyName, Histogram>();

  /**
   * Records a latency.
   *
   * @param name - what was timed
   * @param durationMs - how long it took, in milliseconds
   */
  observe(name: LatencyName, durationMs: number): void {
    let histogram = this.#latencies.get(name);
    if (!histogram) {
      histogram = build({ highestTrackableValue: HIGHEST_MS * MICROSECONDS_PER_MS });
      this.#latencies.set(name, histogram);
    }
    const microseconds = Math.max(0, durationMs) * MICROSECONDS_PER_MS;
    histogram.recordValue(Math.min(Math.round(microseconds), HIGHEST_MS * MICROSECONDS_PER_MS));
  }

  /** @returns all metrics as Prometheus text */
  async text(): Promise<string> {
    const latencies = [...this.#latencies].flatMap(([name, histogram]) => {
      const metric = `chervilseam_${name}_ms`;
      const quantiles = PERCENTILES.map((percentile) => {
        const valueMs = histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
        return `${metric}{quantile="${percentile / 100}"} ${valueMs}`;
      });
      return [`# TYPE ${metric} summary`, ...quantiles, `${metric}_count ${histogram.totalCount}`];
    });
    return `${await this.registry.metrics()}\n${latencies.join('\n')}\n`;
  }

  #counter(name: string, help: string, labelNames: string[]): Counter {
    return new Counter({
      name: `chervilseam_${name}`,
      help,
      labelNames,
      registers: [this.registry],
    });
  }

  #gauge(name: string, help: string, labelNames: string[]): Gauge {
    return new Gauge({ name: `chervilseam_${name}`, help, labelNames, registers: [this.registry] });
  }
}
