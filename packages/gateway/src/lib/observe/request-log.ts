import type { PartLogger } from '@chervilseam/observe';
import type { RunEnd } from '../dispatch/run-end.js';
import type { GatewayMetrics } from './gateway-metrics.js';

type Inputs = Readonly<Record<string, unknown>>;

/** Writes decisions on requests and their outcomes to the log and the metrics. */
export class RequestLog {
  readonly #logger: PartLogger;
  readonly #metrics: GatewayMetrics;

  /**
   * @param logger - logger for requests
   * @param metrics - metrics of the instance
   */
  constructor(logger: PartLogger, metrics: GatewayMetrics) {
    this.#logger = logger;
    this.#metrics = metrics;
  }

  /** Logs a decision on a request with the values that it was made on. */
  logDecision(requestId: string, event: string, text: string, inputs: Inputs): void {
    if (event === 'attempt_failed') {
      this.#metrics.failures.inc();
      this.#metrics.attemptEnds.inc({ ended_by: String(inputs.endedBy) });
    }
    this.#logger.info(event, text, { request: requestId, ...inputs });
  }

  /** Logs and counts the outcome of a request. */
  logEnd({ requestId, ...end }: RunEnd, inputs: Inputs): void {
    const { afterMs, firstAfterMs } = inputs;
    this.#metrics.requests.inc({ outcome: end.outcome });
    if (end.outcome === 'refused') this.#metrics.refusals.inc({ reason: end.reason });
    if (end.outcome === 'cut') {
      const isStopping = inputs.stoppingForMs !== undefined;
      this.#metrics.cuts.inc({ stopping: String(isStopping), at_work: String(inputs.wasAtWork) });
    }
    if (typeof afterMs === 'number') this.#metrics.observe('request', afterMs);
    if (typeof firstAfterMs === 'number') this.#metrics.observe('first_event', firstAfterMs);
    this.#logger.info('done', `request ${end.outcome}`, { request: requestId, ...end, ...inputs });
  }
}
