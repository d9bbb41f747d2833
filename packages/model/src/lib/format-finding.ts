import type { Finding } from './finding.js';

/**
 * Formats a finding as one line.
 *
 * @param finding - the finding to format
 * @returns `source:line:column: object: message [rule]; mend`
 * @example
 * ```ts
 * console.error(formatFinding(finding));
 * ```
 */
export function formatFinding(finding: Finding): string {
  const position = `${finding.source}:${finding.line}:${finding.column}`;
  return `${position}: ${finding.object}: ${finding.message} [${finding.rule}]; ${finding.mend}`;
}
