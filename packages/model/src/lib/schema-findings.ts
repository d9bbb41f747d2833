import type { z } from 'zod';
import type { Finding } from './finding.js';
import { nearName } from './near-name.js';

type Issue = z.core.$ZodIssue;
type FindingBody = Omit<Finding, 'source' | 'line' | 'column'>;
type KeyPath = readonly (string | number)[];

/** A finding of a shape check, still without its place. */
interface PlacedFinding {
  readonly path: KeyPath;
  readonly finding: FindingBody;
}

const unknownKey = (
  key: string,
  path: KeyPath,
  object: string,
  known: readonly string[],
): PlacedFinding => {
  const near = nearName(key, known);
  const mend = near ? `did you mean "${near}"?` : `remove it; known keys: ${known.join(', ')}`;
  return {
    path: [...path, key],
    finding: { object, rule: 'unknown-key', message: `unknown key "${key}"`, mend },
  };
};

/**
 * Turns what zod found into findings.
 *
 * @param object - the object, as `kind/name` or a section's name
 * @param issues - zod's issues
 * @param base - path of the object from the root of its source
 * @param known - the keys that the object may have, for suggestions
 * @returns one finding for each fault, with the path of its place
 */
export function schemaFindings(
  object: string,
  issues: readonly Issue[],
  base: KeyPath,
  known: readonly string[],
): readonly PlacedFinding[] {
  return issues.flatMap((issue) => {
    const path = [...base, ...(issue.path as (string | number)[])];
    if (issue.code === 'unrecognized_keys') {
      const near = issue.path.length === 0 ? known : [];
      return issue.keys.map((key) => unknownKey(key, path, object, near));
    }
    const key = issue.path.join('.');
    const finding = {
      object,
      rule: issue.code.replaceAll('_', '-'),
      message: `${key}: ${issue.message}`,
      mend: `correct "${key}"`,
    };
    return [{ path, finding }];
  });
}
