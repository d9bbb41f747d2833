import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

/** Greatest latency that can be recorded; greater ones are recorded as this value. */
const LATENCY_MAX_MS = 3_600_000;
const PERCENTILES = [50, 95, 99, 99.9];
const MICROSECONDS_PER_MS = 1_000;

/** Counters, gauges and latency percentiles of a process, in the Prometheus text format. */
export class MetricsRegistry<LatencyName extends string = string> {
  readonly registry = new Registry();
  readonly #latencies = new Map<LatencyName, Histogram>();

  /**
   * Records a latency.
   *
   * @param name - name of the latency; its metric is `chervilseam_NAME_ms`
   * @param durationMs - the latency, in milliseconds
   */
  observe(name: LatencyName, durationMs: number): void {
    let histogram = this.#latencies.get(name);
    if (!histogram) {
      histogram = build({ highestTrackableValue: LATENCY_MAX_MS * MICROSECONDS_PER_MS });
      this.#latencies.set(name, histogram);
    }
    const microseconds = Math.max(0, durationMs) * MICROSECONDS_PER_MS;
    histogram.recordValue(Math.min(Math.round(microseconds), LATENCY_MAX_MS * MICROSECONDS_PER_MS));
  }

  /** @returns all metrics in the Prometheus text format */
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

  /** @returns a new counter of this registry */
  protected counter(name: string, help: string, labelNames: string[]): Counter {
    const registers = [this.registry];
    return new Counter({ name: `chervilseam_${name}`, help, labelNames, registers });
  }

  /** @returns a new gauge of this registry */
  protected gauge(name: string, help: string, labelNames: string[]): Gauge {
    return new Gauge({ name: `chervilseam_${name}`, help, labelNames, registers: [this.registry] });
  }
}
