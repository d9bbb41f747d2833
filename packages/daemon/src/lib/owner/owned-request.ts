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

/** What a request at the owner needs around it. */
interface OwnedRequestContext {
  readonly endpoint: OwnedEndpoint;
  readonly origin: string;
  readonly driver: EndpointDriver;
  readonly tracer: HopTracer;
  /** A clock that only goes forward, in milliseconds. */
  readonly nowMs: () => number;
  /** Told the time that the request ran, or `undefined` when its end says nothing of speed. */
  readonly onDone: (request: OwnedRequest, durationMs: number | undefined) => void;
}

const EVENT_STREAM = 'text/event-stream';
const ATTEMPT_HEADER = 'x-chervilseam-attempt';

/** A request at the owner: it waits, is sent once, and its answer goes back along its stream. */
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
  #isAdvised = false;
  #isHeld = false;

  /**
   * @param params - what the entry asks for
   * @param stream - the way back
   * @param context - endpoint, driver and tracer
   */
  constructor(params: DispatchParams, stream: PeerStream, context: OwnedRequestContext) {
    this.params = params;
    this.endpoint = context.endpoint;
    this.#stream = stream;
    this.#context = context;
    this.#span = context.tracer.start('owner', params.traceparent);
    this.#span.setAttribute('endpoint', params.endpoint);
    // Body bytes stay with their sender until the endpoint takes them.
    if (params.isBodyStreamed) stream.pause();
    this.#listen();
  }

  /** Sends the request; called once, when its turn has come. */
  start(): void {
    const { params } = this;
    const { driver, origin, tracer, nowMs } = this.#context;
    this.#sentMs = nowMs();
    this.#endpointSpan = tracer.start('endpoint', HopTracer.header(this.#span));
    const headers = {
      ...params.headers,
      [ATTEMPT_HEADER]: params.attempt,
      'x-chervilseam-priority': String(params.priority),
      traceparent: HopTracer.header(this.#endpointSpan),
    };
    const { method, path, body, isBodyStreamed, headTimeoutMs } = params;
    const request = { origin, method, path, headers, body, isBodyStreamed, headTimeoutMs };
    this.#exchange = driver.send(request, this);
    if (isBodyStreamed) this.#stream.resume();
  }

  /**
   * @param endpoint - a slowed endpoint
   * @returns whether the request runs there and has not been advised yet
   */
  isAdvisable(endpoint: OwnedEndpoint): boolean {
    return this.endpoint === endpoint && this.#exchange !== undefined && !this.#isAdvised;
  }

  /** Tells the entry that the owner is there and has the request. */
  accept(): void {
    const advice: DispatchAdvice = { advice: 'accepted', load: this.endpoint.control.load };
    this.#stream.head(advice);
  }

  /** Tells the entry that the request would be better off elsewhere. */
  adviseMove(): void {
    this.#isAdvised = true;
    const advice: DispatchAdvice = { advice: 'move', load: this.endpoint.control.load };
    this.#stream.head(advice);
  }

  /**
   * Ends the request without an answer.
   *
   * @param failure - why, and what is known of effects
   */
  fail(failure: DispatchFailure): void {
    if (this.#isDone) return;
    HopTracer.fail(this.#span, failure.message);
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
    const isWelcome = this.#stream.write(data);
    if (!isWelcome) this.#hold(true);
    return isWelcome;
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
        this.#hold(false);
        this.#exchange?.resume();
      },
      onFail: () => this.#cancel(),
    };
  }

  // A caller that reads slowly holds its stream back; that says nothing of the engine's speed.
  #hold(isHeld: boolean): void {
    if (!this.#isStreaming || this.#isHeld === isHeld) return;
    this.#isHeld = isHeld;
    this.endpoint.streamCount += isHeld ? -1 : 1;
  }

  // The entry gave up or is gone: the endpoint must not go on for nobody.
  #cancel(): void {
    if (this.#isDone) return;
    HopTracer.fail(this.#span, 'cancelled');
    this.#finish(undefined);
    this.#exchange?.cancel();
  }

  #finish(durationMs: number | undefined): void {
    this.#isDone = true;
    this.#hold(false);
    if (this.#isStreaming) this.endpoint.streamCount -= 1;
    this.#endpointSpan?.end();
    this.#span.end();
    this.#context.onDone(this, durationMs);
  }
}
