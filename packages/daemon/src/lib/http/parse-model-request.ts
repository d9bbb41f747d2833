import { Outcome, RefusalError } from '@chervilseam/model';
import type { RequestTarget } from '@chervilseam/decisions';

/** What a model request's body says about its way. */
interface ModelRequest {
  readonly target: RequestTarget & { kind: 'model' };
  readonly isStreamed: boolean;
}

const bad = (message: string): RefusalError =>
  new RefusalError({ code: 'bad_request', outcome: Outcome.notRun }, message);

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw bad(`the body is no JSON: ${(error as Error).message}`);
  }
}

/**
 * Reads what is needed of an OpenAI request.
 *
 * @param body - the body
 * @param promptField - the field that must hold the prompt
 * @returns the model asked for and the way of the answer
 * @throws RefusalError that says what is wrong
 */
export function parseModelRequest(body: Buffer, promptField: 'messages' | 'prompt'): ModelRequest {
  const value = parseJson(body);
  if (value === null || typeof value !== 'object' || Array.isArray(value)) {
    throw bad('the body is no JSON object');
  }
  const { model, stream, [promptField]: prompt } = value as Record<string, unknown>;
  if (typeof model !== 'string' || model === '') throw bad('"model" must be a string');
  if (prompt === undefined) throw bad(`"${promptField}" is missing`);
  if (stream !== undefined && stream !== null && typeof stream !== 'boolean') {
    throw bad('"stream" must be true or false');
  }
  const [base, adapter, ...rest] = model.split(':');
  if (rest.length > 0) throw bad('"model" must be MODEL or MODEL:ADAPTER');
  return { target: { kind: 'model', model: base, adapter }, isStreamed: stream === true };
}
