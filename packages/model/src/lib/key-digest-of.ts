import { createHash } from 'node:crypto';

/**
 * @param key - an API key as a caller sends it
 * @returns its SHA-256 digest in hexadecimal: keys are compared, stored and logged only in this form
 */
export function keyDigestOf(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}
