import type { ConfigView, EndpointState, Rumor } from '@chervilseam/decisions';
import type { createDrivers, EngineReport } from '@chervilseam/endpoints';
import { EndpointDirectory } from '../entry/endpoint-directory.js';

/** Dependencies of the report loop. */
interface ReportLoopContext {
  readonly drivers: ReturnType<typeof createDrivers>;
  /** @returns the configuration in force */
  readonly view: () => ConfigView;
  /** Name of this instance. */
  readonly self: string;
  /** @returns whether this instance should own an endpoint, whether or not the log says so yet */
  readonly shouldOwn: (endpoint: string) => boolean;
  /** @returns the rumor with a key, or `undefined` when it is not known */
  readonly rumorOf: (key: string) => Rumor | undefined;
  /** Spreads a rumor to all instances. */
  readonly publish: (rumor: Rumor) => void;
  /** Receives each report that was read. */
  readonly onReport: (endpoint: string, report: EngineReport) => void;
}

/**
 * Reads the reports of the engines that this instance should own, and publishes to all instances
 * which models and adapters are resident there.
 */
export class ReportLoop {
  readonly #context: ReportLoopContext;
  /** Names of the engines whose report is being read. */
  readonly #readingNames = new Set<string>();

  /** @param context - dependencies of the loop */
  constructor(context: ReportLoopContext) {
    this.#context = context;
  }

  /**
   * Starts to read the report of each engine that this instance should own, except where the last
   * read is still running.
   */
  poll(): void {
    this.#context.view().endpoints.forEach((endpoint, name) => {
      if (endpoint.driver !== 'engine' || !this.#context.shouldOwn(name)) return;
      if (this.#readingNames.has(name)) return;
      this.#readingNames.add(name);
      this.#read(name, endpoint.url).finally(() => this.#readingNames.delete(name));
    });
  }

  async #read(name: string, url: string): Promise<void> {
    try {
      const report = await this.#context.drivers.engine.readReport(url);
      if (!report || !this.#context.shouldOwn(name)) return;
      this.#context.onReport(name, report);
      this.#publish(name, Object.keys(report.residents));
    } catch {
      // A failed read does not show that the engine is down; requests to it will show that.
    }
  }

  #publish(endpoint: string, residents: readonly string[]): void {
    const { self, rumorOf, publish } = this.#context;
    const key = EndpointDirectory.stateKey(endpoint);
    const rumor = rumorOf(key);
    const state = rumor?.value as EndpointState | undefined;
    const sorted = residents.filter((item) => !item.startsWith('loading:')).sort();
    if (state?.owner === self && state.residents.join() === sorted.join()) return;
    const [term, count] = rumor?.version ?? [0, 0];
    // A new owner starts a new term, so that its rumor is newer than any of the previous owner.
    const version = state?.owner === self ? [term, count + 1] : [term + 1, 0];
    const value: EndpointState = { endpoint, owner: self, residents: sorted, isLeaving: false };
    publish({ key, version: version as [number, number], value });
  }
}
