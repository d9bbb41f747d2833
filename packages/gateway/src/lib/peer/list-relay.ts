import type { EndpointPage } from '../ports/endpoint-page.js';
import type { PeerAddress } from './peer-address.js';

/** A page of the list of endpoints, with the offset that its read began at. */
type ListPage = EndpointPage & { readonly fromOffset?: number };

/** Dependencies of the relay. */
interface ListRelayContext {
  /** Whether this instance owns shares. */
  readonly isOwner: () => boolean;
  /** Addresses of the other owners of shares. */
  readonly owners: () => readonly PeerAddress[];
  /** Addresses of the instances that this one aggregates. */
  readonly followers: () => readonly PeerAddress[];
  /** Sends a page to another instance; rejects when there is no answer. */
  readonly send: (address: PeerAddress, page: ListPage) => Promise<unknown>;
  /** Receives a page that another instance sent, and the name of that instance. */
  readonly onPage: (page: ListPage, from: string) => void;
}

/**
 * Passes pages of the list of endpoints on: an owner of shares sends what it read to the other owners, and
 * every owner sends what it read or received to its followers.
 */
export class ListRelay {
  readonly #context: ListRelayContext;

  /** @param context - dependencies of the relay */
  constructor(context: ListRelayContext) {
    this.#context = context;
  }

  /**
   * Passes on a page that this instance read.
   *
   * @param page - what was read, and the offset that the read began at
   */
  relay(page: ListPage): void {
    const { isOwner, owners, followers } = this.#context;
    if (!isOwner()) return;
    this.#send(owners(), page);
    this.#send(followers(), page);
  }

  /**
   * Receives a page from another instance.
   *
   * @param page - what was read, and the offset that the read began at
   * @param from - name of the instance that sent it
   */
  receive(page: ListPage, from: string): void {
    const { isOwner, followers, onPage } = this.#context;
    onPage(page, from);
    if (isOwner()) this.#send(followers(), page);
  }

  #send(addresses: readonly PeerAddress[], page: ListPage): void {
    addresses.forEach((address) => {
      this.#context.send(address, page).catch(() => {
        // The other instance reads the list from the store when it receives no page.
      });
    });
  }
}
