import type { InstanceState } from './instance-state.js';
import type { Overview } from './overview.js';
import { StateReceiver } from './state-receiver.js';
import { StateSender } from './state-sender.js';

/** An instance that has not called for this long is forgotten, in milliseconds. */
const RETENTION_MS = 20_000;

/** What this instance has received from another one that called it, and answered to it. */
interface PeerCaller {
  readonly receiver: StateReceiver<InstanceState>;
  readonly sender: StateSender<Overview>;
  /** When the other instance last called, in milliseconds. */
  calledMs: number;
}

/** The instances that call this one, by name. */
export class PeerCallers {
  readonly #callers = new Map<string, PeerCaller>();
  readonly #nowMs: () => number;

  /** @param nowMs - monotonic clock, in milliseconds */
  constructor(nowMs: () => number) {
    this.#nowMs = nowMs;
  }

  /**
   * @param instance - name of the calling instance
   * @returns what is known of it; created at its first call
   */
  get(instance: string): PeerCaller {
    const calledMs = this.#nowMs();
    const known = this.#callers.get(instance);
    if (known) {
      known.calledMs = calledMs;
      return known;
    }
    this.#callers.forEach((caller, name) => {
      if (calledMs - caller.calledMs > RETENTION_MS) this.#callers.delete(name);
    });
    const caller = { receiver: new StateReceiver(), sender: new StateSender(), calledMs };
    this.#callers.set(instance, caller as PeerCaller);
    return caller as PeerCaller;
  }
}
