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
  #pending: Buffer = Buffer.alloc(0);

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
    this.#pending = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
    const messages: FrameMessage[] = [];
    let offset = 0;
    while (this.#pending.length - offset >= HEADER_BYTES) {
      const length = this.#pending.readUInt32BE(offset);
      if (length > BODY_BYTES_MAX) {
        throw new verror.VError({ name: 'FrameError' }, 'frame of %d bytes is too large', length);
      }
      const end = offset + HEADER_BYTES + length;
      if (this.#pending.length < end) break;
      messages.push(FrameCodec.#parse(this.#pending.subarray(offset + HEADER_BYTES, end)));
      offset = end;
    }
    this.#pending = this.#pending.subarray(offset);
    return messages;
  }

  static #parse(body: Buffer): FrameMessage {
    let message: FrameMessage;
    try {
      message = codec.decode(body) as FrameMessage;
    } catch (error) {
      throw new verror.VError({ name: 'FrameError', cause: error as Error }, 'frame is no CBOR');
    }
    if (typeof message?.type !== 'string') {
      throw new verror.VError({ name: 'FrameError' }, 'frame has no type');
    }
    return message;
  }
}
