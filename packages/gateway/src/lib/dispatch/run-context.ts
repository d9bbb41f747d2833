import type {
  AnswerTimes,
  HoldTime,
  MemoryBudget,
  PriorityMix,
  RefusedCaller,
  SharedRetryBudget,
  WaitQueue,
} from '@chervilseam/decisions';
import type { Endpoint } from '../feed/endpoint.js';
import type { MemoryKind } from '../ingress/memory-kind.js';
import type { EventLoop } from '../observe/event-loop.js';
import type { AnswerHead } from '../ports/answer-head.js';
import type { CallerHead } from '../ports/caller-head.js';
import type { EndpointCodec } from '../ports/endpoint-codec.js';
import type { CrashGuard } from './crash-guard.js';
import type { EndpointPicker } from './endpoint-picker.js';
import type { OpenRun } from './open-run.js';
import type { RunEnd } from './run-end.js';
import type { RunTarget } from './run-target.js';

/** Dependencies of a request's run. */
export interface RunContext {
  readonly picker: EndpointPicker;
  /** Log offset and age, in milliseconds, of the list of endpoints that the picker chooses from. */
  readonly listState: () => { readonly listOffset?: number | string; readonly listAgeMs: number };
  /** Knows the parts of prompts under which engines end. */
  readonly crashGuard: CrashGuard;
  readonly codec: EndpointCodec;
  readonly nowMs: () => number;
  readonly eventLoop: EventLoop;
  /** Memory budget of buffered requests and answers. */
  readonly memory: MemoryBudget<MemoryKind>;
  /** @returns a random number from 0 up to 1 */
  readonly randomUnit: () => number;
  /** Requests that have not been answered yet. */
  readonly openRuns: Set<OpenRun>;
  /** When this process ends the requests that are still open, in milliseconds; Infinity unless it stops. */
  readonly endMs: () => number;
  /** Time since this process began to stop, in milliseconds; `undefined` unless it stops. */
  readonly stoppingForMs: () => number | undefined;
  /** Lower bound of `Retry-After`, in milliseconds. */
  readonly retryAfterMinMs: number;
  /** Number of instances that divide the retry budgets, including this one. */
  readonly instanceCount: () => number;
  /** Queue of a service's waiting requests. */
  readonly queue: (service: string) => WaitQueue;
  /** How long requests occupy the endpoints of a service. */
  readonly holdTime: (service: string) => HoldTime;
  /** Priorities that callers of a service use now. */
  readonly priorityMix: (service: string) => PriorityMix;
  /** How long the answers of a route took. */
  readonly answerTimes: (route: string) => AnswerTimes;
  readonly retryBudget: (service: string) => SharedRetryBudget;
  /** Loads an adapter on an engine through its owner; resolves to whether it can serve now. */
  readonly loadAdapter: (endpoint: Endpoint, model: string, adapter: string) => Promise<boolean>;
  /** Called once when a request arrives: it counts as demand for its model. */
  readonly onReceived: (head: CallerHead, target: RunTarget) => void;
  /** Called when a request is refused; its caller may retry. */
  readonly onRefused: (head: CallerHead, target: RunTarget, caller: RefusedCaller) => void;
  /** Called when a request is sent to an endpoint. */
  readonly onSent: (endpoint: Endpoint, head: CallerHead) => void;
  /** Called when a request that was queued leaves the queue after `waitedMs` milliseconds. */
  readonly onWaited: (waitedMs: number) => void;
  /** Called when a request no longer occupies an endpoint; it occupied it for `holdMs` milliseconds. */
  readonly onReleased: (endpoint: Endpoint, holdMs: number) => void;
  /**
   * Called when an endpoint answered that it lacks the model or adapter, or when another endpoint
   * answered at its address.
   */
  readonly onMisdirected: (endpoint: Endpoint, answer: AnswerHead, head: CallerHead) => void;
  /** Called when an endpoint announced in an answer that it is about to exit. */
  readonly onLeaving: (endpoint: Endpoint, answer: AnswerHead) => void;
  /** Called when an endpoint refused a request and asked to retry later, in `retryAfterMs` milliseconds. */
  readonly onBackoff: (endpoint: Endpoint, retryAfterMs: number) => void;
  /** Logs a decision on a request with the values that it was made on. */
  readonly logDecision: (
    requestId: string,
    event: string,
    text: string,
    inputs: Readonly<Record<string, unknown>>,
  ) => void;
  /** Called once when a request has ended. */
  readonly onFinished: (end: RunEnd, inputs: Readonly<Record<string, unknown>>) => void;
}
