import type { IncomingHttpHeaders } from 'node:http';
import type { AnswerHead } from './answer-head.js';
import type { CallerHead } from './caller-head.js';
import type { DispatchHead } from './dispatch-head.js';

/** Reads and writes the headers that callers, the gateway and endpoints exchange. */
export interface EndpointCodec {
  /** @returns what the headers of a caller's request state */
  readCaller(headers: IncomingHttpHeaders): CallerHead;
  /**
   * @returns headers to send to an endpoint, names and values alternating: the caller's without those
   *   that only the gateway may set, and the gateway's own
   */
  writeDispatch(head: DispatchHead): string[];
  /** @returns what the head of an endpoint's answer states */
  readAnswer(status: number, headers: readonly Buffer[]): AnswerHead;
}
