/** Number of leading digits that identify a key in logs without revealing its whole digest. */
const SHOWN_DIGIT_COUNT = 12;

/**
 * @param digest - digest of an API key, in hexadecimal
 * @returns its leading digits, as logs and findings show them
 */
export function shownDigestOf(digest: string): string {
  return digest.slice(0, SHOWN_DIGIT_COUNT);
}
