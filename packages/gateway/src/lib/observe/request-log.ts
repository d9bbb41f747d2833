import type { PartLogger } from '@chervilseam/observe';
import type { RunEnd } from '../dispatch/run-end.js';
import type { GatewayMetrics } from './gateway-metrics.js';

type Inputs = Readonly<Record<string, unknown>>;

/** Explains what is decided on requests, in the log and in the metrics. */
export class RequestLog {
  readonly #logger: PartLogger;
  readonly #metrics: GatewayMetrics;

  /**
   * @param logger - logger of the part
   * @param metrics - metrics of the instance
   */
  constructor(logger: PartLogger, metrics: GatewayMetrics) {
    this.#logger = logger;
    this.#metrics = metrics;
  }

  /** Explains a decision on a request. */
  decision(requestId: string, event: string, text: string, inputs: Inputs): void {
    if (event === 'attempt_failed') this.#metrics.failures.inc();
    this.#logger.info(event, text, { request: requestId, ...inputs });
  }

  /** Notes how a request ended. */
  finished({ requestId, ...end }: RunEnd, inputs: Inputs): void {
    const { afterMs, firstAfterMs } = inputs;
    this.#metrics.requests.inc({ outcome: end.outcome });
    if (typeof afterMs === 'number') this.#metrics.observe('request', afterMs);
    if (typeof firstAfterMs === 'number') this.#metrics.observe('first_event', firstAfterMs);
    this.#logger.info('done', `request ${end.outcome}`, { request: requestId, ...end, ...inputs });
  }
}
