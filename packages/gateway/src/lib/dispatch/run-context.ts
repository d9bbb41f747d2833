import type { SharedRetryBudget, WaitingLine } from '@chervilseam/decisions';
import type { Endpoint } from '../feed/endpoint.js';
import type { AnswerHead } from '../ports/answer-head.js';
import type { CallerHead } from '../ports/caller-head.js';
import type { EndpointCodec } from '../ports/endpoint-codec.js';
import type { EndpointPicker } from './endpoint-picker.js';
import type { RunEnd } from './run-end.js';
import type { RunTarget } from './run-target.js';

/** What a request needs around it. */
export interface RunContext {
  readonly picker: EndpointPicker;
  readonly codec: EndpointCodec;
  readonly nowMs: () => number;
  /** @returns a random number from 0 up to 1 */
  readonly randomUnit: () => number;
  /** Least time that callers are told to wait, in milliseconds. */
  readonly retryAfterMinMs: number;
  readonly instanceCount: () => number;
  readonly line: (service: string) => WaitingLine;
  readonly budget: (service: string) => SharedRetryBudget;
  /** Loads an adapter on an engine through its owner. */
  readonly prepare: (endpoint: Endpoint, model: string, adapter: string) => Promise<boolean>;
  /** A request asks for a model. */
  readonly asked: (head: CallerHead, target: RunTarget) => void;
  /** A request is refused; its caller may come back. */
  readonly refused: (head: CallerHead, target: RunTarget) => void;
  /** A request was sent. */
  readonly sent: (endpoint: Endpoint, head: CallerHead) => void;
  /** A request has left an endpoint after some time, in milliseconds. */
  readonly ended: (holdMs: number) => void;
  /** An endpoint said that it lacks what was asked of it, or that it is another one. */
  readonly denied: (endpoint: Endpoint, answer: AnswerHead, head: CallerHead) => void;
  /** Explains a decision on a request. */
  readonly decision: (
    requestId: string,
    event: string,
    text: string,
    inputs: Readonly<Record<string, unknown>>,
  ) => void;
  /** A request is over. */
  readonly finished: (end: RunEnd, inputs: Readonly<Record<string, unknown>>) => void;
}
