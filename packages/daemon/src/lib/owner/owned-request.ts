import { Outcome } from '@chervilseam/model';
import type { EndpointDriver, EndpointExchange, EndpointListener } from '@chervilseam/endpoints';
import type { PeerStream } from '@chervilseam/peer';
import type { Span } from '@opentelemetry/api';
import { HopTracer } from '../observe/tracer.js';
import type { DispatchAdvice } from '../peer/dispatch-advice.js';
import type { DispatchEnd } from '../peer/dispatch-end.js';
import type { DispatchFailure } from '../peer/dispatch-failure.js';
import type { DispatchHead } from '../peer/dispatch-head.js';
import type { DispatchParams } from '../peer/dispatch-params.js';
import type { OwnedEndpoint } from './owned-endpoint.js';

/** Dependencies of a request at the owner. */
interface OwnedRequestContext {
  readonly endpoint: OwnedEndpoint;
  /** Base URL of the endpoint. */
  readonly origin: string;
  readonly driver: EndpointDriver;
  readonly tracer: HopTracer;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
  /**
   * Called once when the request has ended. The duration is the time since it was sent to the
   * endpoint, in milliseconds, or `undefined` when it failed or was cancelled.
   */
  readonly onDone: (request: OwnedRequest, durationMs: number | undefined) => void;
}

const EVENT_STREAM = 'text/event-stream';
/** Sent to the endpoint with the id of the attempt; an endpoint may echo it. */
const ATTEMPT_HEADER = 'x-chervilseam-attempt';

/**
 * A request at the owner of its endpoint. It waits until a slot is free and is sent to the endpoint
 * once. The answer goes back on the stream that the request came on, to the entry: the instance that
 * received the request from the caller.
 */
export class OwnedRequest implements EndpointListener {
  readonly params: DispatchParams;
  readonly endpoint: OwnedEndpoint;
  readonly #stream: PeerStream;
  readonly #context: OwnedRequestContext;
  readonly #span: Span;
  #endpointSpan: Span | undefined;
  #exchange: EndpointExchange | undefined;
  #sentMs = 0;
  #isDone = false;
  #isStreaming = false;
  /** Whether the entry has been advised to move the request. */
  #isAdvised = false;
  /** Whether the streamed answer is held back because its receiver is slow. */
  #isHeldBack = false;

  /**
   * @param params - the request as sent by the entry
   * @param stream - the stream to the entry
   * @param context - dependencies of the request
   */
  constructor(params: DispatchParams, stream: PeerStream, context: OwnedRequestContext) {
    this.params = params;
    this.endpoint = context.endpoint;
    this.#stream = stream;
    this.#context = context;
    this.#span = context.tracer.start('owner', params.traceparent);
    this.#span.setAttribute('endpoint', params.endpoint);
    // The entry keeps a streamed body until the endpoint can receive it.
    if (params.isBodyStreamed) stream.pause();
    this.#listen();
  }

  /** Sends the request to the endpoint. Must be called once, when it has been given a slot. */
  start(): void {
    const { params } = this;
    const { driver, origin, tracer, nowMs } = this.#context;
    this.#sentMs = nowMs();
    this.#endpointSpan = tracer.start('endpoint', HopTracer.traceparentOf(this.#span));
    const headers = {
      ...params.headers,
      [ATTEMPT_HEADER]: params.attempt,
      'x-chervilseam-priority': String(params.priority),
      traceparent: HopTracer.traceparentOf(this.#endpointSpan),
    };
    const { method, path, body, isBodyStreamed, headTimeoutMs } = params;
    const request = { origin, method, path, headers, body, isBodyStreamed, headTimeoutMs };
    this.#exchange = driver.send(request, this);
    if (isBodyStreamed) this.#stream.resume();
  }

  /**
   * @param endpoint - an endpoint that has slowed down
   * @returns whether the request runs there and the entry has not been advised to move it yet
   */
  isAdvisable(endpoint: OwnedEndpoint): boolean {
    return this.endpoint === endpoint && this.#exchange !== undefined && !this.#isAdvised;
  }

  /** Reports to the entry that the owner has received and admitted the request. */
  accept(): void {
    const advice: DispatchAdvice = { advice: 'accepted', load: this.endpoint.control.load };
    this.#stream.head(advice);
  }

  /** Advises the entry to move the request to another endpoint. */
  adviseMove(): void {
    this.#isAdvised = true;
    const advice: DispatchAdvice = { advice: 'move', load: this.endpoint.control.load };
    this.#stream.head(advice);
  }

  /**
   * Ends the request without an answer.
   *
   * @param failure - why it failed, and whether it may have run
   */
  fail(failure: DispatchFailure): void {
    if (this.#isDone) return;
    HopTracer.markFailed(this.#span, failure.message);
    this.#stream.fail({ ...failure, load: this.endpoint.control.load });
    this.#finish(undefined);
  }

  onHead(status: number, headers: Readonly<Record<string, string>>): void {
    this.endpoint.control.onFirstToken(this.#context.nowMs() - this.#sentMs);
    this.#isStreaming = headers['content-type'] === EVENT_STREAM;
    if (this.#isStreaming) this.endpoint.streamCount += 1;
    const echoed = headers[ATTEMPT_HEADER];
    if (echoed !== undefined && echoed !== '' && echoed !== this.params.attempt) {
      this.#exchange?.cancel();
      const message = `the endpoint answered attempt ${echoed} in place of this one`;
      this.fail({ code: 'endpoint_failed', outcome: Outcome.unknown, message });
      return;
    }
    const head: DispatchHead = { status, headers, load: this.endpoint.control.load };
    this.#stream.head(head);
  }

  onData(data: Buffer): boolean {
    if (this.#isDone) return true;
    if (this.#isStreaming) this.endpoint.countTokens(data);
    const canTakeMore = this.#stream.write(data);
    if (!canTakeMore) this.#holdBack(true);
    return canTakeMore;
  }

  onEnd(): void {
    if (this.#isDone) return;
    this.#finish(this.#context.nowMs() - this.#sentMs);
    const end: DispatchEnd = { load: this.endpoint.control.load };
    this.#stream.end(end);
  }

  onFail({ outcome, message, isTimeout }: Parameters<EndpointListener['onFail']>[0]): void {
    const code = isTimeout ? 'endpoint_timeout' : 'endpoint_failed';
    this.fail({ code: outcome === Outcome.notRun ? 'endpoint_refused' : code, outcome, message });
  }

  onDrain(): void {
    this.#stream.resume();
  }

  #listen(): void {
    this.#stream.listener = {
      onData: (data) => {
        if (this.#exchange?.write(data) === false) this.#stream.pause();
      },
      onEnd: () => this.#exchange?.endBody(),
      onDrain: () => {
        this.#holdBack(false);
        this.#exchange?.resume();
      },
      onFail: () => this.#cancel(),
    };
  }

  // A stream that a slow receiver holds back is not counted: its low token rate says nothing about
  // the speed of the engine.
  #holdBack(isHeldBack: boolean): void {
    if (!this.#isStreaming || this.#isHeldBack === isHeldBack) return;
    this.#isHeldBack = isHeldBack;
    this.endpoint.streamCount += isHeldBack ? -1 : 1;
  }

  // The entry has cancelled the request or is unreachable: nobody would receive the answer, so the
  // endpoint is made to stop.
  #cancel(): void {
    if (this.#isDone) return;
    HopTracer.markFailed(this.#span, 'cancelled');
    this.#finish(undefined);
    this.#exchange?.cancel();
  }

  #finish(durationMs: number | undefined): void {
    this.#isDone = true;
    this.#holdBack(false);
    if (this.#isStreaming) this.endpoint.streamCount -= 1;
    this.#endpointSpan?.end();
    this.#span.end();
    this.#context.onDone(this, durationMs);
  }
}
