import { ConfigKind } from './config-kind.js';
import type { Finding } from './finding.js';
import type { parseConfig } from './parse-config.js';
import { shownDigestOf } from './shown-digest-of.js';

/**
 * Finds API keys that several callers hold, since a key has to identify one caller.
 *
 * @param files - the parsed files that come into force together
 * @returns a finding for each caller whose key an earlier one holds, at the position of its digest
 */
export function sharedKeyFindings(files: readonly ReturnType<typeof parseConfig>[]): Finding[] {
  const holderByDigest = new Map<string, string>();
  return files.flatMap(({ objects, findingAt }) =>
    objects.flatMap(({ kind, name, body, index }) => {
      if (kind !== ConfigKind.caller) return [];
      const digest = String(body.keySha256);
      const holder = holderByDigest.get(digest);
      if (holder === undefined) holderByDigest.set(digest, name);
      // Two callers of the same name are a finding of their own.
      if (holder === undefined || holder === name) return [];
      const finding = findingAt([ConfigKind.caller, index, 'keySha256'], {
        object: `caller/${name}`,
        rule: 'shared-key',
        message: `keySha256: the key ${shownDigestOf(digest)} is also that of caller/${holder}`,
        mend: 'give each caller a key of its own',
      });
      return [finding];
    }),
  );
}
