import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import verror from 'verror';
import type { FrameMessage } from './frame-message.js';

const NONCE_BYTES = 32;

/** Side of the connection: the client opened it, the server accepted it. */
type HandshakeRole = 'client' | 'server';

const oppositeRole: Record<HandshakeRole, HandshakeRole> = { client: 'server', server: 'client' };

/**
 * Mutual authentication of two instances by a shared key. Each side sends a nonce in its `hello`, and
 * then a `proof`: an HMAC over both nonces.
 */
export class Handshake {
  /** The first message to send. */
  readonly hello: FrameMessage;
  readonly #role: HandshakeRole;
  readonly #secret: string;
  readonly #nonce = randomBytes(NONCE_BYTES);
  #peerNonce: Uint8Array | undefined;
  #peerInstance = '';

  /**
   * @param role - side of this instance
   * @param instance - name of this instance
   * @param secret - the shared key
   */
  constructor(role: HandshakeRole, instance: string, secret: string) {
    this.#role = role;
    this.#secret = secret;
    this.hello = { type: 'hello', instance, nonce: this.#nonce };
  }

  /**
   * Handles the peer's next message.
   *
   * @param message - a `hello` or `proof`
   * @returns the answer to send, if there is one, and the peer's name once its proof is verified
   * @throws VError named `HandshakeError` when the message is out of order or the proof is wrong
   */
  handle(message: FrameMessage): { readonly answer?: FrameMessage; readonly instance?: string } {
    if (message.type === 'hello' && !this.#peerNonce) {
      this.#peerNonce = message.nonce;
      this.#peerInstance = String(message.instance);
      return { answer: { type: 'proof', proof: this.#proofOf(this.#role) } };
    }
    if (message.type !== 'proof' || !this.#peerNonce) {
      throw new verror.VError({ name: 'HandshakeError' }, 'unexpected %s', message.type);
    }
    const expected = this.#proofOf(oppositeRole[this.#role]);
    const proof = Buffer.from(message.proof ?? []);
    if (proof.length !== expected.length || !timingSafeEqual(proof, expected)) {
      throw new verror.VError({ name: 'HandshakeError' }, 'the other side has another key');
    }
    return { instance: this.#peerInstance };
  }

  // The HMAC covers both nonces, so that a recorded proof cannot be replayed, and the role of its sender,
  // so that a peer cannot send this side's own proof back.
  #proofOf(role: HandshakeRole): Buffer {
    const [client, server] =
      this.#role === 'client' ? [this.#nonce, this.#peerNonce] : [this.#peerNonce, this.#nonce];
    return createHmac('sha256', this.#secret)
      .update(role)
      .update(client ?? '')
      .update(server ?? '')
      .digest();
  }
}
