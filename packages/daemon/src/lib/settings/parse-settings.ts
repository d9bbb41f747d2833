import { closestName, schemaFindings, TomlSource } from '@chervilseam/model';
import type { Finding } from '@chervilseam/model';
import { settingsSchema } from './settings-schema.js';
import type { Settings } from './settings.js';

/** Valid settings, or the findings about invalid ones. */
type ParsedSettings =
  | { readonly settings: Settings; readonly findings: readonly [] }
  | { readonly settings: undefined; readonly findings: readonly Finding[] };

type SectionName = keyof typeof settingsSchema.shape;

function knownKeys(section: string): readonly string[] {
  if (!Object.hasOwn(settingsSchema.shape, section)) return [];
  const schema = settingsSchema.shape[section as SectionName];
  const object = 'unwrap' in schema ? schema.unwrap() : schema;
  return Object.keys(object.shape);
}

function unknownKeyFinding(toml: TomlSource, path: readonly string[], key: string): Finding {
  const known = path.length === 0 ? Object.keys(settingsSchema.shape) : knownKeys(path[0]);
  const suggestion = closestName(key, known);
  return toml.findingAt([...path, key], {
    object: [...path, key].join('.'),
    rule: 'unknown-key',
    message: `unknown key "${key}"`,
    mend: suggestion
      ? `did you mean "${suggestion}"?`
      : `remove it; known keys: ${known.join(', ')}`,
  });
}

/**
 * Parses the settings of a daemon and reports all errors at once.
 *
 * @param source - file name to show in findings
 * @param text - TOML text
 * @returns the settings, or all findings
 */
export function parseSettings(source: string, text: string): ParsedSettings {
  const toml = new TomlSource(source, text);
  if (toml.syntaxFindings.length > 0) return { settings: undefined, findings: toml.syntaxFindings };
  const result = settingsSchema.safeParse(toml.value);
  if (result.success) return { settings: result.data, findings: [] };
  const findings = result.error.issues.flatMap((issue) => {
    if (issue.code === 'unrecognized_keys') {
      return issue.keys.map((key) => unknownKeyFinding(toml, issue.path.map(String), key));
    }
    const section = issue.path[0] === undefined ? 'settings' : String(issue.path[0]);
    return schemaFindings(section, [issue], [], []).map(({ path, finding }) =>
      toml.findingAt(path, finding),
    );
  });
  return { settings: undefined, findings };
}
