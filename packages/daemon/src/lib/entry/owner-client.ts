import type { Member } from '@chervilseam/decisions';
import { createStreamPair } from '@chervilseam/peer';
import type { PeerStream } from '@chervilseam/peer';
import type { DispatchParams } from '../peer/dispatch-params.js';
import type { PeerNode } from '../peer/peer-node.js';

/** How this instance reaches the owners of endpoints. */
interface OwnerClientContext {
  readonly self: () => string;
  readonly peers: PeerNode;
  /** @returns the instance that owns an endpoint, as far as is known here */
  readonly ownerOf: (endpoint: string) => Member | undefined;
  /** Handles a dispatch on this instance. */
  readonly handleLocally: (params: DispatchParams, stream: PeerStream) => void;
}

/** Opens a dispatch at the owner of an endpoint, wherever that is. */
export class OwnerClient {
  readonly #context: OwnerClientContext;

  /** @param context - this instance, its peers and its own handler */
  constructor(context: OwnerClientContext) {
    this.#context = context;
  }

  /**
   * Opens a dispatch. While the owner cannot be reached this instance stands in for it, with a
   * small limit of its own.
   *
   * @param params - what is asked for
   * @returns the stream, whose listener must be set in the same turn
   */
  async open(params: DispatchParams): Promise<PeerStream> {
    const owner = this.#context.ownerOf(params.endpoint);
    if (owner?.name === this.#context.self()) return this.#openLocally(params);
    if (owner) {
      try {
        return await this.#context.peers.open(owner, 'dispatch', params);
      } catch {
        // The stream was never opened, so nothing of the request has reached the owner.
        return this.#openLocally({ ...params, isFallback: true });
      }
    }
    return this.#openLocally({ ...params, isFallback: true });
  }

  #openLocally(params: DispatchParams): PeerStream {
    const { opener, handler } = createStreamPair();
    // The opener sets its listener in this turn; the handler may answer only after it.
    setImmediate(() => this.#context.handleLocally(params, handler));
    return opener;
  }
}
