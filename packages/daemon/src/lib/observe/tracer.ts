import { ROOT_CONTEXT, SpanKind, SpanStatusCode, trace, TraceFlags } from '@opentelemetry/api';
import type { Context, Span } from '@opentelemetry/api';
import {
  BasicTracerProvider,
  ParentBasedSampler,
  TraceIdRatioBasedSampler,
} from '@opentelemetry/sdk-trace-base';
import type { ReadableSpan, SpanProcessor } from '@opentelemetry/sdk-trace-base';

/** Number of spans that are kept and shown. */
const SPAN_COUNT_MAX = 1_000;
/** A `traceparent` header of W3C Trace Context, version 00. */
const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;
const NANOSECONDS_PER_MS = 1e6;
const MS_PER_SECOND = 1e3;

/** The parts of this system that a request passes through. */
type Hop = 'entry' | 'owner' | 'endpoint';

/** A finished span, as shown on the operators' page. */
interface SpanRecord {
  readonly trace: string;
  readonly span: string;
  readonly parent: string;
  readonly hop: string;
  /** Start time, in milliseconds since the Unix epoch. */
  readonly startMs: number;
  readonly durationMs: number;
  /** What failed; empty if nothing did. */
  readonly error: string;
  readonly attributes: Readonly<Record<string, unknown>>;
}

/** Converts a time of OpenTelemetry, in seconds and nanoseconds, to milliseconds. */
const toMs = ([seconds, nanoseconds]: readonly [number, number]): number =>
  seconds * MS_PER_SECOND + nanoseconds / NANOSECONDS_PER_MS;

/**
 * Creates a span for each hop of a request. The `traceparent` header links them, as in W3C Trace
 * Context. The latest finished spans are kept in memory for the operators' page.
 */
export class HopTracer implements SpanProcessor {
  readonly #tracer;
  readonly #instance: string;
  #records: SpanRecord[] = [];

  /**
   * @param instance - name of the instance
   * @param sampledRatio - fraction of requests to trace, from 0 to 1, if the caller sends no
   *   `traceparent`
   */
  constructor(instance: string, sampledRatio: number) {
    this.#instance = instance;
    const provider = new BasicTracerProvider({
      sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(sampledRatio) }),
      spanProcessors: [this],
    });
    this.#tracer = provider.getTracer('chervilseam');
  }

  /**
   * Starts the span of a hop.
   *
   * @param hop - the hop
   * @param traceparent - the header that the previous hop sent, if any
   * @returns the span
   */
  start(hop: Hop, traceparent: string | undefined): Span {
    const kind = hop === 'endpoint' ? SpanKind.CLIENT : SpanKind.SERVER;
    const attributes = { instance: this.#instance };
    return this.#tracer.startSpan(hop, { kind, attributes }, HopTracer.#parent(traceparent));
  }

  /**
   * @param span - a span
   * @returns the `traceparent` header for the next hop
   */
  static traceparentOf(span: Span): string {
    const { traceId, spanId, traceFlags } = span.spanContext();
    return `00-${traceId}-${spanId}-0${traceFlags & TraceFlags.SAMPLED}`;
  }

  /**
   * Marks a span as failed.
   *
   * @param span - the span
   * @param message - what failed
   */
  static markFailed(span: Span, message: string): void {
    span.setStatus({ code: SpanStatusCode.ERROR, message });
  }

  /**
   * @param traceId - id of the trace to filter by; empty for all spans
   * @returns the latest spans, newest first
   */
  latest(traceId = ''): readonly SpanRecord[] {
    const chosen = this.#records.filter((record) => traceId === '' || record.trace === traceId);
    return chosen.slice(-SPAN_COUNT_MAX).reverse();
  }

  // eslint-disable-next-line class-methods-use-this -- required by SpanProcessor
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

  // eslint-disable-next-line class-methods-use-this -- required by SpanProcessor
  forceFlush(): Promise<void> {
    return Promise.resolve();
  }

  // eslint-disable-next-line class-methods-use-this -- required by SpanProcessor
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
