import type { ConfigView, EndpointFact, Rumor } from '@chervilseam/decisions';
import type { createDrivers, EngineReport } from '@chervilseam/endpoints';
import { Directory } from '../entry/directory.js';

/** What reading the reports of endpoints needs around it. */
interface ReportLoopContext {
  readonly drivers: ReturnType<typeof createDrivers>;
  readonly view: () => ConfigView;
  readonly self: string;
  /** @returns whether this instance owns an endpoint */
  readonly isOwned: (endpoint: string) => boolean;
  readonly factOf: (key: string) => Rumor | undefined;
  readonly publish: (rumor: Rumor) => void;
  readonly onReport: (endpoint: string, report: EngineReport) => void;
}

/** Reads the reports of the endpoints owned here and tells the others what is resident. */
export class ReportLoop {
  readonly #context: ReportLoopContext;
  readonly #busy = new Set<string>();

  /** @param context - drivers, configuration and rumors */
  constructor(context: ReportLoopContext) {
    this.#context = context;
  }

  /** Reads all reports once; an endpoint that still owes one is left out. */
  poll(): void {
    this.#context.view().endpoints.forEach((endpoint, name) => {
      if (endpoint.driver !== 'engine' || !this.#context.isOwned(name)) return;
      if (this.#busy.has(name)) return;
      this.#busy.add(name);
      this.#read(name, endpoint.url).finally(() => this.#busy.delete(name));
    });
  }

  async #read(name: string, url: string): Promise<void> {
    try {
      const report = await this.#context.drivers.engine.report(url);
      if (!report || !this.#context.isOwned(name)) return;
      this.#context.onReport(name, report);
      this.#publish(name, Object.keys(report.residents));
    } catch {
      // A lost report says nothing; requests find out by themselves whether the endpoint answers.
    }
  }

  #publish(endpoint: string, residents: readonly string[]): void {
    const { self, factOf, publish } = this.#context;
    const key = Directory.factKey(endpoint);
    const known = factOf(key);
    const fact = known?.value as EndpointFact | undefined;
    const sorted = residents.filter((item) => !item.startsWith('loading:')).sort();
    if (fact?.owner === self && fact.residents.join() === sorted.join()) return;
    const [term, count] = known?.version ?? [0, 0];
    // A new owner starts a new term, so that its word outweighs whatever the former one said.
    const version = fact?.owner === self ? [term, count + 1] : [term + 1, 0];
    const value: EndpointFact = { endpoint, owner: self, residents: sorted, isLeaving: false };
    publish({ key, version: version as [number, number], value });
  }
}
