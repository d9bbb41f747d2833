import { promisify } from 'node:util';
import { deflateRaw, inflateRaw } from 'node:zlib';
import { Encoder } from 'cbor-x';
import type { EngineSpec, ModelSpec, ServiceSpec, ServingConfig } from '@chervilseam/model';

interface PackedEngine extends Omit<EngineSpec, 'models'> {
  readonly models: readonly ModelSpec[];
}

interface PackedService extends Omit<ServiceSpec, 'engine'> {
  readonly engine?: PackedEngine;
}

/** A configuration with arrays in place of maps. */
interface PackedConfig extends Omit<ServingConfig, 'services'> {
  readonly services: readonly PackedService[];
}

const byName = <T extends { readonly name: string }>(items: readonly T[]): Map<string, T> =>
  new Map(items.map((item) => [item.name, item]));

/** Largest configuration that is decoded, in bytes. */
const DECODED_BYTES_MAX = 32 * 1024 * 1024;
/** Fastest level of the compression: the higher ones take several times as long for a few percent. */
const COMPRESSION_LEVEL = 1;

const compress = promisify(deflateRaw);
const decompress = promisify(inflateRaw);
const codec = new Encoder({ useRecords: false });

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
    const packed: PackedConfig = { ...config, services };
    return compress(codec.encode(packed), { level: COMPRESSION_LEVEL });
  },

  /**
   * @param bytes - what `encode` returned
   * @returns a configuration equal to the encoded one
   * @throws when the bytes are not an encoded configuration
   */
  async decode(bytes: Buffer): Promise<ServingConfig> {
    const plain = await decompress(bytes, { maxOutputLength: DECODED_BYTES_MAX });
    const packed = codec.decode(plain) as PackedConfig;
    const services = packed.services.map(({ engine, ...service }) => ({
      ...service,
      ...(engine && { engine: { ...engine, models: byName(engine.models) } }),
    }));
    return { ...packed, services: byName(services) };
  },
};
