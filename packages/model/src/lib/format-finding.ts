import type { Finding } from './finding.js';

/**
 * Formats a finding as one line.
 *
 * @param finding - the finding
 * @returns `file:line:column: object: message (rule); mend`
 * @example
 * ```ts
 * console.error(formatFinding(finding));
 * ```
 */
export function formatFinding(finding: Finding): string {
  const place = `${finding.source}:${finding.line}:${finding.column}`;
  return `${place}: ${finding.object}: ${finding.message} [${finding.rule}]; ${finding.mend}`;
}
