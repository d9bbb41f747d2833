import type { IncomingHttpHeaders } from 'node:http';
import type { AnswerHead } from './answer-head.js';
import type { CallerHead } from './caller-head.js';
import type { DispatchHead } from './dispatch-head.js';

/** Names of headers between callers, this system and endpoints. */
export interface EndpointCodec {
  /** @returns what the caller's headers say */
  readCaller(headers: IncomingHttpHeaders): CallerHead;
  /** @returns the headers to send: the caller's, without those that only the system sets, and ours */
  writeDispatch(head: DispatchHead): string[];
  /** @returns what the endpoint's headers say */
  readAnswer(status: number, headers: readonly Buffer[]): AnswerHead;
}
