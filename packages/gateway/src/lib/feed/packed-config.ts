import { compressedCbor } from '@chervilseam/peer';
import type {
  EngineSpec,
  ModelSpec,
  ServiceSpec,
  ServingConfig,
  WorkspaceSpec,
} from '@chervilseam/model';

interface PackedEngine extends Omit<EngineSpec, 'models'> {
  readonly models: readonly ModelSpec[];
}

interface PackedService extends Omit<ServiceSpec, 'engine'> {
  readonly engine?: PackedEngine;
}

/** A configuration with arrays in place of maps. */
interface PackedConfig extends Omit<ServingConfig, 'services' | 'workspaces'> {
  readonly services: readonly PackedService[];
  readonly workspaces?: readonly WorkspaceSpec[];
}

const byName = <T extends { readonly name: string }>(items: readonly T[]): Map<string, T> =>
  new Map(items.map((item) => [item.name, item]));

/**
 * Converts configurations to and from the form that is sent between instances: compressed CBOR, as the
 * routes of a large configuration are alike and links are slow.
 */
export const packedConfig = {
  /** @returns the bytes to send */
  encode(config: ServingConfig): Promise<Buffer> {
    const services = [...config.services.values()].map(({ engine, ...service }) => ({
      ...service,
      ...(engine && { engine: { ...engine, models: [...engine.models.values()] } }),
    }));
    const { workspaces, ...others } = config;
    const packed: PackedConfig = {
      ...others,
      services,
      ...(workspaces && { workspaces: [...workspaces.values()] }),
    };
    return compressedCbor.encode(packed);
  },

  /**
   * @param bytes - what `encode` returned
   * @returns a configuration equal to the encoded one
   * @throws when the bytes are not an encoded configuration
   */
  async decode(bytes: Buffer): Promise<ServingConfig> {
    const packed = (await compressedCbor.decode(bytes)) as PackedConfig;
    const isComplete =
      Number.isFinite(packed.version) &&
      Array.isArray(packed.routes) &&
      Array.isArray(packed.services);
    if (!isComplete) {
      throw new Error('configuration from an instance lacks its version, routes or services');
    }
    const services = packed.services.map(({ engine, ...service }) => ({
      ...service,
      ...(engine && { engine: { ...engine, models: byName(engine.models) } }),
    }));
    const { workspaces, ...others } = packed;
    return {
      ...others,
      services: byName(services),
      ...(workspaces && { workspaces: byName(workspaces) }),
    };
  },
};
