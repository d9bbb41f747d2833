import { createHash } from 'node:crypto';

/** Number of hexadecimal digits of the digest in each token. */
const DIGEST_DIGITS = 8;

/**
 * Computes the answer of an engine stand-in. It depends only on model, prompt and length, and each
 * token carries its index, so that a test can check that a caller received every token of the answer
 * to its own request.
 *
 * @param model - name of the model, or `model:adapter`
 * @param prompt - the prompt's text
 * @param tokenCount - length of the answer in tokens
 * @returns the tokens
 */
export function engineAnswer(model: string, prompt: string, tokenCount: number): string[] {
  const digest = createHash('sha256').update(`${model}\n${prompt}`).digest('hex');
  const prefix = digest.slice(0, DIGEST_DIGITS);
  return Array.from({ length: tokenCount }, (_, index) => `${prefix}.${index} `);
}
