import { configSchemas } from './config-schemas.js';
import { ConfigKind } from './config-kind.js';
import type { Finding } from './finding.js';
import { closestName } from './closest-name.js';
import { schemaFindings } from './schema-findings.js';
import { TomlSource } from './toml-source.js';

interface ParsedObject {
  readonly kind: ConfigKind;
  readonly name: string;
  readonly body: Readonly<Record<string, unknown>>;
  /** Position of the object among those of its kind in the file; 0 is the first. */
  readonly index: number;
}

/** The parsed objects and the findings of one configuration file. */
interface ParsedConfig {
  readonly objects: readonly ParsedObject[];
  readonly findings: readonly Finding[];
  /** Adds the position in the file of a key, given its path, to a finding. */
  readonly findingAt: TomlSource['findingAt'];
}

const isKind = (key: string): key is ConfigKind => Object.hasOwn(ConfigKind, key);

function unknownKind(toml: TomlSource, key: string): Finding {
  const kinds = Object.keys(ConfigKind);
  const suggestion = closestName(key, kinds);
  return toml.findingAt([key], {
    object: key,
    rule: 'unknown-kind',
    message: `unknown kind "${key}"`,
    mend: suggestion ? `did you mean "${suggestion}"?` : `use one of ${kinds.join(', ')}`,
  });
}

function parseEntry(toml: TomlSource, kind: ConfigKind, entry: unknown, index: number) {
  const schema = configSchemas[kind];
  const name = String((entry as { name?: unknown } | null)?.name ?? `#${index + 1}`);
  const result = schema.safeParse(entry);
  if (result.success) return { object: { kind, name, body: result.data, index }, findings: [] };
  const known = Object.keys(schema.shape);
  const findings = schemaFindings(`${kind}/${name}`, result.error.issues, [kind, index], known);
  return { findings: findings.map(({ path, finding }) => toml.findingAt(path, finding)) };
}

function duplicateFindings(toml: TomlSource, objects: readonly ParsedObject[]): Finding[] {
  const seen = new Set<string>();
  return objects.flatMap(({ kind, name }) => {
    const key = `${kind}/${name}`;
    if (!seen.has(key)) {
      seen.add(key);
      return [];
    }
    const mend = 'keep one of the two';
    return [toml.findingAt([kind], { object: key, rule: 'duplicate', message: 'twice', mend })];
  });
}

/**
 * Parses a configuration file and reports all errors in it at once.
 *
 * @param source - file name, for findings
 * @param text - TOML text with tables named after the kinds of objects
 * @returns the valid objects and all findings; the objects may be used only if there are no findings
 * @example
 * ```ts
 * const { objects, findings } = parseConfig('shop.toml', text);
 * ```
 */
export function parseConfig(source: string, text: string): ParsedConfig {
  const toml = new TomlSource(source, text);
  const findings: Finding[] = [...toml.syntaxFindings];
  const objects: ParsedObject[] = [];
  Object.entries(toml.value).forEach(([key, entries]) => {
    if (!isKind(key)) {
      findings.push(unknownKind(toml, key));
      return;
    }
    const list: unknown[] = Array.isArray(entries) ? entries : [entries];
    list.forEach((entry, index) => {
      const parsed = parseEntry(toml, key, entry, index);
      findings.push(...parsed.findings);
      if (parsed.object) objects.push(parsed.object);
    });
  });
  findings.push(...duplicateFindings(toml, objects));
  return { objects, findings, findingAt: (path, rest) => toml.findingAt(path, rest) };
}
