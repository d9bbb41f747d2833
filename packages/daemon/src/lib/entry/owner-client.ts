import type { Member } from '@chervilseam/decisions';
import { createStreamPair } from '@chervilseam/peer';
import type { PeerStream } from '@chervilseam/peer';
import type { DispatchParams } from '../peer/dispatch-params.js';
import type { PeerNode } from '../peer/peer-node.js';

/** Dependencies of an owner client. */
interface OwnerClientContext {
  /** @returns the name of this instance */
  readonly self: () => string;
  readonly peers: PeerNode;
  /** @returns the instance that owns the endpoint according to the members known here */
  readonly ownerOf: (endpoint: string) => Member | undefined;
  /** Handles a dispatch on this instance. */
  readonly handleLocally: (params: DispatchParams, stream: PeerStream) => void;
}

/** Dispatches requests to the owners of their endpoints, which may be this instance. */
export class OwnerClient {
  readonly #context: OwnerClientContext;

  /** @param context - this instance, its peers and its handler of dispatches */
  constructor(context: OwnerClientContext) {
    this.#context = context;
  }

  /**
   * Opens a dispatch. If the owner cannot be reached, this instance handles the dispatch as a fallback,
   * with a small concurrency limit of its own.
   *
   * @param params - the request and its endpoint
   * @returns the stream; its listener must be set in the same turn of the event loop
   */
  async open(params: DispatchParams): Promise<PeerStream> {
    const owner = this.#context.ownerOf(params.endpoint);
    if (owner?.name === this.#context.self()) return this.#openLocally(params);
    if (owner) {
      try {
        return await this.#context.peers.open(owner, 'dispatch', params);
      } catch {
        // The stream was not opened, so no part of the request has reached the owner.
        return this.#openLocally({ ...params, isFallback: true });
      }
    }
    return this.#openLocally({ ...params, isFallback: true });
  }

  #openLocally(params: DispatchParams): PeerStream {
    const { opener, handler } = createStreamPair();
    // The handler must not answer before the opener has set its listener, which it does in this turn
    // of the event loop.
    setImmediate(() => this.#context.handleLocally(params, handler));
    return opener;
  }
}
