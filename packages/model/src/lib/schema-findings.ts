import type { z } from 'zod';
import type { Finding } from './finding.js';
import { closestName } from './closest-name.js';

type Issue = z.core.$ZodIssue;
type FindingBody = Omit<Finding, 'source' | 'line' | 'column'>;
type KeyPath = readonly (string | number)[];

/** A finding of schema validation, with the path of the key in place of its line and column. */
interface FindingAtPath {
  readonly path: KeyPath;
  readonly finding: FindingBody;
}

const unknownKeyFinding = (
  key: string,
  path: KeyPath,
  object: string,
  known: readonly string[],
): FindingAtPath => {
  const suggestion = closestName(key, known);
  const mend = suggestion
    ? `did you mean "${suggestion}"?`
    : `remove it; known keys: ${known.join(', ')}`;
  return {
    path: [...path, key],
    finding: { object, rule: 'unknown-key', message: `unknown key "${key}"`, mend },
  };
};

/**
 * Converts the issues reported by zod into findings.
 *
 * @param object - the validated object, as `kind/name`, or the name of a section
 * @param issues - issues reported by zod
 * @param base - path of the object from the root of the source
 * @param known - the object's valid keys, for suggestions
 * @returns a finding for each issue, or for each key if the issue lists unknown keys
 */
export function schemaFindings(
  object: string,
  issues: readonly Issue[],
  base: KeyPath,
  known: readonly string[],
): readonly FindingAtPath[] {
  return issues.flatMap((issue) => {
    const path = [...base, ...(issue.path as (string | number)[])];
    if (issue.code === 'unrecognized_keys') {
      const valid = issue.path.length === 0 ? known : [];
      return issue.keys.map((key) => unknownKeyFinding(key, path, object, valid));
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
