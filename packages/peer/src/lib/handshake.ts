import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import verror from 'verror';
import type { FrameMessage } from './frame-message.js';

const NONCE_BYTES = 32;

/** The side of a connection that a handshake speaks for. */
type HandshakeRole = 'client' | 'server';

const otherRole: Record<HandshakeRole, HandshakeRole> = { client: 'server', server: 'client' };

/** Proves both sides' knowledge of the shared key, with a fresh nonce from each. */
export class Handshake {
  readonly hello: FrameMessage;
  readonly #role: HandshakeRole;
  readonly #secret: string;
  readonly #nonce = randomBytes(NONCE_BYTES);
  #remoteNonce: Uint8Array | undefined;
  #remoteInstance = '';

  /**
   * @param role - this side
   * @param instance - this instance's name
   * @param secret - the shared key
   */
  constructor(role: HandshakeRole, instance: string, secret: string) {
    this.#role = role;
    this.#secret = secret;
    this.hello = { type: 'hello', instance, nonce: this.#nonce };
  }

  /**
   * Takes the next message of the other side.
   *
   * @param message - a `hello` or `proof`
   * @returns the answer to send, and the other's name once it has proved itself
   * @throws VError named `HandshakeError` when the message is wrong or the proof is false
   */
  take(message: FrameMessage): { readonly answer?: FrameMessage; readonly instance?: string } {
    if (message.type === 'hello' && !this.#remoteNonce) {
      this.#remoteNonce = message.nonce;
      this.#remoteInstance = String(message.instance);
      return { answer: { type: 'proof', proof: this.#proofOf(this.#role) } };
    }
    if (message.type !== 'proof' || !this.#remoteNonce) {
      throw new verror.VError({ name: 'HandshakeError' }, 'unexpected %s', message.type);
    }
    const expected = this.#proofOf(otherRole[this.#role]);
    const proof = Buffer.from(message.proof ?? []);
    if (proof.length !== expected.length || !timingSafeEqual(proof, expected)) {
      throw new verror.VError({ name: 'HandshakeError' }, 'the other side has another key');
    }
    return { instance: this.#remoteInstance };
  }

  // Both nonces are signed, and the role, so that no proof can be sent back to its maker.
  #proofOf(role: HandshakeRole): Buffer {
    const [client, server] =
      this.#role === 'client' ? [this.#nonce, this.#remoteNonce] : [this.#remoteNonce, this.#nonce];
    return createHmac('sha256', this.#secret)
      .update(role)
      .update(client ?? '')
      .update(server ?? '')
      .digest();
  }
}
