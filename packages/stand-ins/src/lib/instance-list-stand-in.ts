import { HttpStandIn } from './http-stand-in.js';

/** An entry of the platform's list of instances. */
interface ListedInstance {
  readonly name: string;
  readonly role: 'entry' | 'endpoint';
  readonly host: string;
  readonly peerPort: number;
  readonly failureDomain: string;
  readonly region: string;
  /** Size of the machine relative to the others. */
  readonly size: number;
  readonly state: 'live' | 'leaving';
}

/** Stands in for the platform's list of instances, which shows each change with a delay. */
export class InstanceListStandIn extends HttpStandIn {
  /** Closes the connection of every request without an answer. */
  isDown = false;
  readonly #lagMs: number;
  /** Every list that was set, with its wall-clock time in milliseconds, oldest first. */
  readonly #changes: { readonly atMs: number; readonly instances: readonly ListedInstance[] }[] =
    [];

  /** @param lagMs - delay until a change shows, in milliseconds */
  constructor(lagMs = 0) {
    super();
    this.#lagMs = lagMs;
    this.route('GET', '/instances', ({ response }) => {
      if (this.isDown) response.destroy();
      else HttpStandIn.reply(response, 200, { instances: this.#visible() });
    });
  }

  /**
   * Replaces the list.
   *
   * @param instances - all entries of the new list
   */
  set(instances: readonly ListedInstance[]): void {
    this.#changes.push({ atMs: Date.now(), instances });
  }

  #visible(): readonly ListedInstance[] {
    const limitMs = Date.now() - this.#lagMs;
    const visible = this.#changes.filter(({ atMs }) => atMs <= limitMs);
    return visible.at(-1)?.instances ?? [];
  }
}
