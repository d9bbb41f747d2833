import { SharedRetryBudget, WaitingLine } from '@chervilseam/decisions';

/** What is kept for each service: who waits for it, and how often requests may be repeated at it. */
export class ServiceBook {
  readonly #bounds: ConstructorParameters<typeof SharedRetryBudget>[0];
  readonly #lines = new Map<string, WaitingLine>();
  readonly #budgets = new Map<string, SharedRetryBudget>();

  /** @param bounds - bounds of repeats, over all instances */
  constructor(bounds: ConstructorParameters<typeof SharedRetryBudget>[0]) {
    this.#bounds = bounds;
  }

  /** Requests that wait; a count. */
  get waitingCount(): number {
    return [...this.#lines.values()].reduce((sum, { size }) => sum + size, 0);
  }

  /** Models that requests wait for. */
  get awaitedModels(): readonly string[] {
    return [...new Set([...this.#lines.values()].flatMap(({ models }) => models))];
  }

  /** @returns the requests that wait for a service */
  line(service: string): WaitingLine {
    const known = this.#lines.get(service);
    if (known) return known;
    const line = new WaitingLine();
    this.#lines.set(service, line);
    return line;
  }

  /** @returns the repeats that are left at a service */
  budget(service: string): SharedRetryBudget {
    const known = this.#budgets.get(service);
    if (known) return known;
    const budget = new SharedRetryBudget(this.#bounds);
    this.#budgets.set(service, budget);
    return budget;
  }

  /** Offers places to those who wait. */
  pump(nowMs: number): void {
    this.#lines.forEach((line) => line.pump(nowMs));
  }

  /** Lets go of all who wait. */
  clear(): void {
    this.#lines.forEach((line) => line.clear());
  }
}
