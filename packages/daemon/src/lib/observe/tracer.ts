import { ROOT_CONTEXT, SpanKind, SpanStatusCode, trace, TraceFlags } from '@opentelemetry/api';
import type { Context, Span } from '@opentelemetry/api';
import {
  BasicTracerProvider,
  ParentBasedSampler,
  TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-base';
import type { ReadableSpan, SpanProcessor } from '@opentelemetry/sdk-trace-base';

const SPAN_COUNT_MAX = 1_000;
const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;
const NANOSECONDS_PER_MS = 1e6;
const MS_PER_SECOND = 1e3;

type Hop = 'entry' | 'owner' | 'endpoint';

/** A finished span, as the operators' page shows it. */
interface SpanRecord {
  readonly trace: string;
  readonly span: string;
  readonly parent: string;
  readonly hop: string;
  readonly startMs: number;
  readonly durationMs: number;
  readonly error: string;
  readonly attributes: Readonly<Record<string, unknown>>;
}

const toMs = ([seconds, nanoseconds]: readonly [number, number]): number =>
  seconds * MS_PER_SECOND + nanoseconds / NANOSECONDS_PER_MS;

/** Spans of the hops of a request, joined by `traceparent`. */
export class HopTracer implements SpanProcessor {
  readonly #tracer;
  readonly #instance: string;
  #records: SpanRecord[] = [];

  /**
   * @param instance - name of the instance
   * @param share - share of requests traced when the caller does not say
   */
  constructor(instance: string, share: number) {
    this.#instance = instance;
    const provider = new BasicTracerProvider({
      sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(share) }),
      spanProcessors: [this],
    });
    this.#tracer = provider.getTracer('chervilseam');
  }

  /**
   * Starts the span of a hop.
   *
   * @param hop - which hop
   * @param traceparent - the header of the hop before, if any
   * @returns the span
   */
  start(hop: Hop, traceparent: string | undefined): Span {
    const kind = hop === 'endpoint' ? SpanKind.CLIENT : SpanKind.SERVER;
    const attributes = { instance: this.#instance };
    return this.#tracer.startSpan(hop, { kind, attributes }, HopTracer.#parent(traceparent));
  }

  /**
   * @param span - a span
   * @returns the header for the next hop
   */
  static header(span: Span): string {
    const { traceId, spanId, traceFlags } = span.spanContext();
    return `00-${traceId}-${spanId}-0${traceFlags & TraceFlags.SAMPLED}`;
  }

  /**
   * Marks a span as failed.
   *
   * @param span - the span
   * @param message - what failed
   */
  static fail(span: Span, message: string): void {
    span.setStatus({ code: SpanStatusCode.ERROR, message });
  }

  /**
   * @param traceId - only spans of this trace; all when empty
   * @returns the latest spans, newest first
   */
  latest(traceId = ''): readonly SpanRecord[] {
    const chosen = this.#records.filter((record) => traceId === '' || record.trace === traceId);
    return chosen.slice(-SPAN_COUNT_MAX).reverse();
  }

  // eslint-disable-next-line class-methods-use-this -- asked for by the interface
  onStart(): void {}

  onEnd(span: ReadableSpan): void {
    const { traceId, spanId } = span.spanContext();
    this.#records.push({
      trace: traceId,
      span: spanId,
      parent: span.parentSpanContext?.spanId ?? '',
      hop: span.name,
      startMs: toMs(span.startTime),
      durationMs: toMs(span.duration),
      error: span.status.code === SpanStatusCode.ERROR ? (span.status.message ?? 'failed') : '',
      attributes: span.attributes,
    });
    if (this.#records.length >= 2 * SPAN_COUNT_MAX) {
      this.#records = this.#records.slice(-SPAN_COUNT_MAX);
    }
  }

  // eslint-disable-next-line class-methods-use-this -- asked for by the interface
  forceFlush(): Promise<void> {
    return Promise.resolve();
  }

  // eslint-disable-next-line class-methods-use-this -- asked for by the interface
  shutdown(): Promise<void> {
    return Promise.resolve();
  }

  static #parent(traceparent: string | undefined): Context {
    const match = TRACEPARENT.exec(traceparent ?? '');
    if (!match) return ROOT_CONTEXT;
    const [, traceId, spanId, flags] = match;
    const traceFlags = Number.parseInt(flags, 16) & TraceFlags.SAMPLED;
    return trace.setSpanContext(ROOT_CONTEXT, { traceId, spanId, traceFlags, isRemote: true });
  }
}
