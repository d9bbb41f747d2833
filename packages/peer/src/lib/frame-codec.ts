import { BlockBuffer } from '@chervilseam/model';
import { Encoder } from 'cbor-x';
import verror from 'verror';
import type { FrameMessage } from './frame-message.js';

/** Length of a frame's header, which holds the length of its body (big-endian). */
const HEADER_BYTES = 4;
/** Largest body that is accepted; a longer one fails the connection. */
const BODY_BYTES_MAX = 1024 * 1024;

const codec = new Encoder({ useRecords: false, tagUint8Array: false });

/**
 * Encodes messages into frames, and decodes a byte stream into messages. A frame is the length of its
 * body (four bytes, big-endian) followed by the body, which is one message in CBOR.
 */
export class FrameCodec {
  /** Received bytes of the next frame, which is not complete yet. */
  readonly #pending = new BlockBuffer();

  /**
   * @param message - the message to encode
   * @returns the frame
   */
  static encode(message: FrameMessage): Buffer {
    const body = codec.encode(message);
    const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, HEADER_BYTES);
    return frame;
  }

  /**
   * @param chunk - the bytes received next, which may start and end within a frame
   * @returns the messages that `chunk` completes
   * @throws VError named `FrameError` when a frame is too large, is not CBOR or has no `type`
   */
  decode(chunk: Buffer): FrameMessage[] {
    const messages: FrameMessage[] = [];
    let offset = this.#completePending(chunk, messages);
    let frame = FrameCodec.#frameAt(chunk, offset);
    while (frame) {
      messages.push(FrameCodec.#parse(frame));
      offset += frame.length;
      frame = FrameCodec.#frameAt(chunk, offset);
    }
    if (offset < chunk.length) this.#pending.append(chunk.subarray(offset));
    return messages;
  }

  // Adds the part of `chunk` that belongs to a frame whose beginning arrived earlier. Returns its length. Bytes are copied
  // once, however many chunks a frame comes in.
  #completePending(chunk: Buffer, messages: FrameMessage[]): number {
    if (this.#pending.length === 0) return 0;
    const headerBytes = this.#append(chunk, HEADER_BYTES);
    if (this.#pending.length < HEADER_BYTES) return headerBytes;
    const frameBytes = FrameCodec.#frameBytes(this.#pending.first(HEADER_BYTES));
    const bytes = headerBytes + this.#append(chunk.subarray(headerBytes), frameBytes);
    if (this.#pending.length === frameBytes) messages.push(FrameCodec.#parse(this.#pending.take()));
    return bytes;
  }

  // Adds bytes up to a total length. Returns the number of those that were added.
  #append(chunk: Buffer, totalBytes: number): number {
    const part = chunk.subarray(0, Math.max(0, totalBytes - this.#pending.length));
    this.#pending.append(part);
    return part.length;
  }

  // The whole frame at an offset, or `undefined` if it is not complete.
  static #frameAt(chunk: Buffer, offset: number): Buffer | undefined {
    if (chunk.length - offset < HEADER_BYTES) return undefined;
    const end = offset + FrameCodec.#frameBytes(chunk.subarray(offset));
    return end <= chunk.length ? chunk.subarray(offset, end) : undefined;
  }

  // Length of a frame with its header.
  static #frameBytes(header: Buffer): number {
    const length = header.readUInt32BE(0);
    if (length > BODY_BYTES_MAX) {
      throw new verror.VError({ name: 'FrameError' }, 'frame of %d bytes is too large', length);
    }
    return HEADER_BYTES + length;
  }

  static #parse(frame: Buffer): FrameMessage {
    let message: FrameMessage;
    try {
      message = codec.decode(frame.subarray(HEADER_BYTES)) as FrameMessage;
    } catch (error) {
      throw new verror.VError({ name: 'FrameError', cause: error as Error }, 'frame is no CBOR');
    }
    if (typeof message?.type !== 'string') {
      throw new verror.VError({ name: 'FrameError' }, 'frame has no type');
    }
    return message;
  }
}
