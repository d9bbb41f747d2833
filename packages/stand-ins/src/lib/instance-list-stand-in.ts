import { HttpStandIn } from './http-stand-in.js';

/** An entry of the platform's list. */
interface ListedInstance {
  readonly name: string;
  readonly role: 'entry' | 'endpoint';
  readonly host: string;
  readonly peerPort: number;
  readonly failureDomain: string;
  readonly region: string;
  /** Relative size of the machine. */
  readonly size: number;
  readonly state: 'live' | 'leaving';
}

/** The platform's list of instances, which shows each change only after a while. */
export class InstanceListStandIn extends HttpStandIn {
  isDown = false;
  readonly #lagMs: number;
  readonly #changes: { readonly atMs: number; readonly instances: readonly ListedInstance[] }[] =
    [];

  /** @param lagMs - how late a change shows, in milliseconds */
  constructor(lagMs = 0) {
    super();
    this.#lagMs = lagMs;
    this.route('GET', '/instances', ({ response }) => {
      if (this.isDown) response.destroy();
      else HttpStandIn.reply(response, 200, { instances: this.#visible() });
    });
  }

  /** @param instances - the whole new list */
  set(instances: readonly ListedInstance[]): void {
    this.#changes.push({ atMs: Date.now(), instances });
  }

  #visible(): readonly ListedInstance[] {
    const limitMs = Date.now() - this.#lagMs;
    const visible = this.#changes.filter(({ atMs }) => atMs <= limitMs);
    return visible.at(-1)?.instances ?? [];
  }
}
