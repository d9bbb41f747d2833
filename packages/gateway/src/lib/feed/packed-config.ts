import type { EngineSpec, ModelSpec, ServiceSpec, ServingConfig } from '@chervilseam/model';

interface PackedEngine extends Omit<EngineSpec, 'models'> {
  readonly models: readonly ModelSpec[];
}

interface PackedService extends Omit<ServiceSpec, 'engine'> {
  readonly engine?: PackedEngine;
}

/** A configuration as it is sent between instances: with arrays in place of maps. */
export interface PackedConfig extends Omit<ServingConfig, 'services'> {
  readonly services: readonly PackedService[];
}

const byName = <T extends { readonly name: string }>(items: readonly T[]): Map<string, T> =>
  new Map(items.map((item) => [item.name, item]));

/** Converts configurations to and from the form that is sent between instances. */
export const packedConfig = {
  /** @returns the configuration with arrays in place of maps */
  pack(config: ServingConfig): PackedConfig {
    const services = [...config.services.values()].map(({ engine, ...service }) => ({
      ...service,
      ...(engine && { engine: { ...engine, models: [...engine.models.values()] } }),
    }));
    return { ...config, services };
  },

  /** @returns the configuration with its maps, equal to the one that was packed */
  unpack(packed: PackedConfig): ServingConfig {
    const services = packed.services.map(({ engine, ...service }) => ({
      ...service,
      ...(engine && { engine: { ...engine, models: byName(engine.models) } }),
    }));
    return { ...packed, services: byName(services) };
  },
};
