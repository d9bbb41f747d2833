import { canonicalDigest } from '@chervilseam/model';
import type { ConfigChange, parseConfig } from '@chervilseam/model';
import type { ConfigObject } from '@chervilseam/decisions';

type ParsedObject = ReturnType<typeof parseConfig>['objects'][number];

/**
 * Computes the changes that turn the objects in force into those of a file.
 *
 * @param objects - objects in force, by `kind/name`
 * @param wanted - objects of the file
 * @param isPruning - whether objects that the file does not contain are deleted
 * @returns the changes, each with the revision of the object that it replaces, or 0 for a new object
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
    const current = objects.get(key);
    if (current && canonicalDigest(current.body) === canonicalDigest(body)) return;
    changes.push({ kind, name, baseRevision: current?.revision ?? 0, body });
  });
  if (!isPruning) return changes;
  objects.forEach(({ kind, name, revision }, key) => {
    if (!keys.has(key)) changes.push({ kind, name, baseRevision: revision, body: null });
  });
  return changes;
}
