import { promisify } from 'node:util';
import { deflateRaw, inflateRaw } from 'node:zlib';
import { Encoder } from 'cbor-x';

/** Largest value that is decoded, in bytes. */
const DECODED_BYTES_MAX = 64 * 1024 * 1024;
/** Fastest level of the compression: the higher ones take several times as long for a few percent. */
const COMPRESSION_LEVEL = 1;

const compress = promisify(deflateRaw);
const decompress = promisify(inflateRaw);
const codec = new Encoder({ useRecords: false });

/** Converts large values to and from the form in which instances transfer them. */
export const compressedCbor = {
  /** @returns the bytes to send */
  encode(value: unknown): Promise<Buffer> {
    return compress(codec.encode(value), { level: COMPRESSION_LEVEL });
  },

  /**
   * @param bytes - what `encode` returned
   * @returns the encoded value
   * @throws when the bytes are not an encoded value, or the value is too large
   */
  async decode(bytes: Buffer): Promise<unknown> {
    return codec.decode(await decompress(bytes, { maxOutputLength: DECODED_BYTES_MAX })) as unknown;
  },
};
