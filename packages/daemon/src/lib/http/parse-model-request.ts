import { Outcome, RefusalError } from '@chervilseam/model';
import type { RequestTarget } from '@chervilseam/decisions';

/** The fields of a model request that decide where it goes and how it is answered. */
interface ModelRequest {
  readonly target: RequestTarget & { kind: 'model' };
  readonly isStreamed: boolean;
}

const badRequest = (message: string): RefusalError =>
  new RefusalError({ code: 'bad_request', outcome: Outcome.notRun }, message);

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw badRequest(`the body is no JSON: ${(error as Error).message}`);
  }
}

/**
 * Parses the body of an OpenAI request and checks the fields that this system reads.
 *
 * @param body - the request's body
 * @param promptField - name of the field that must contain the prompt
 * @returns the requested model and whether the answer is streamed
 * @throws RefusalError if the body is not a valid request
 */
export function parseModelRequest(body: Buffer, promptField: 'messages' | 'prompt'): ModelRequest {
  const value = parseJson(body);
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    throw badRequest('the body is no JSON object');
  }
  const { model, stream, [promptField]: prompt } = value as Record<string, unknown>;
  if (typeof model !== 'string' || model === '') throw badRequest('"model" must be a string');
  if (prompt === undefined) throw badRequest(`"${promptField}" is missing`);
  if (stream !== undefined && stream !== null && typeof stream !== 'boolean') {
    throw badRequest('"stream" must be true or false');
  }
  const [base, adapter, ...rest] = model.split(':');
  if (rest.length > 0) throw badRequest('"model" must be MODEL or MODEL:ADAPTER');
  return { target: { kind: 'model', model: base, adapter }, isStreamed: stream === true };
}
