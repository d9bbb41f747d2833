import { ConfigKind, configSchemas } from '@chervilseam/model';
import type { ConfigBody } from '@chervilseam/model';
import type { ConfigObject } from './config-object.js';

type Index<K extends ConfigKind> = ReadonlyMap<string, ConfigBody<K>>;

function indexOf<K extends ConfigKind>(
  objects: ReadonlyMap<string, ConfigObject>,
  kind: K,
): Index<K> {
  const index = new Map<string, ConfigBody<K>>();
  objects.forEach((object) => {
    if (object.kind !== kind) return;
    const result = configSchemas[kind].safeParse(object.body);
    if (result.success) index.set(object.name, result.data as ConfigBody<K>);
  });
  return index;
}

/** The active configuration, parsed and indexed by name; built again after each change. */
export class ConfigView {
  readonly offset: number;
  readonly models: Index<'model'>;
  readonly adapters: Index<'adapter'>;
  readonly services: Index<'service'>;
  readonly endpoints: Index<'endpoint'>;
  readonly callers: Index<'caller'>;
  readonly policies: Index<'policy'>;
  /** Callers by the SHA-256 digest of their API key. */
  readonly callersByKey: ReadonlyMap<string, ConfigBody<'caller'>>;

  /**
   * @param offset - offset of the last record that the objects include
   * @param objects - the active objects; those that are invalid in this version are left out
   */
  constructor(offset: number, objects: ReadonlyMap<string, ConfigObject>) {
    this.offset = offset;
    this.models = indexOf(objects, ConfigKind.model);
    this.adapters = indexOf(objects, ConfigKind.adapter);
    this.services = indexOf(objects, ConfigKind.service);
    this.endpoints = indexOf(objects, ConfigKind.endpoint);
    this.callers = indexOf(objects, ConfigKind.caller);
    this.policies = indexOf(objects, ConfigKind.policy);
    const callers = [...this.callers.values()];
    this.callersByKey = new Map(callers.map((caller) => [caller.keySha256, caller]));
  }
}
