import { createHash } from 'node:crypto';

const DIGEST_DIGITS = 8;

/**
 * The answer that a stand-in engine gives, a function of model and prompt alone, so that a test can
 * tell whether a caller got the whole answer to its own request.
 *
 * @param model - model, or `model:adapter`
 * @param prompt - the prompt's text
 * @param tokenCount - length of the answer in tokens
 * @returns the tokens
 */
export function engineAnswer(model: string, prompt: string, tokenCount: number): string[] {
  const digest = createHash('sha256').update(`${model}\n${prompt}`).digest('hex');
  const mark = digest.slice(0, DIGEST_DIGITS);
  return Array.from({ length: tokenCount }, (_, index) => `${mark}.${index} `);
}
