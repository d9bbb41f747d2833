import { canonicalDigest } from '@chervilseam/model';
import type { ConfigChange, parseConfig } from '@chervilseam/model';
import type { ConfigObject } from '@chervilseam/decisions';

type ParsedObject = ReturnType<typeof parseConfig>['objects'][number];

/**
 * Works out which changes lead from the objects in force to those of a file.
 *
 * @param objects - objects in force, by `kind/name`
 * @param wanted - objects of the file
 * @param isPruning - whether objects that the file does not hold are deleted
 * @returns the changes, each based on the revision that it was worked out from
 */
export function planChanges(
  objects: ReadonlyMap<string, ConfigObject>,
  wanted: readonly ParsedObject[],
  isPruning: boolean,
): ConfigChange[] {
  const changes: ConfigChange[] = [];
  const keys = new Set<string>();
  wanted.forEach(({ kind, name, body }) => {
    const key = `${kind}/${name}`;
    keys.add(key);
    const known = objects.get(key);
    if (known && canonicalDigest(known.body) === canonicalDigest(body)) return;
    changes.push({ kind, name, baseRevision: known?.revision ?? 0, body });
  });
  if (!isPruning) return changes;
  objects.forEach(({ kind, name, revision }, key) => {
    if (!keys.has(key)) changes.push({ kind, name, baseRevision: revision, body: null });
  });
  return changes;
}
