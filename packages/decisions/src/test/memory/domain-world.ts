import { DomainLedger } from '../../lib/memory/domain-ledger.js';
import { FakeLog } from '../fake-log.js';
import { AdversarialEngine } from './adversarial-engine.js';

const CAPACITY_BYTES = 100;
const LIMITS = { loadsPerSecond: 1_000, adapterLoadsMax: 1_000 };

interface Instance {
  readonly name: string;
  incarnation: number;
  ledger: DomainLedger;
  /** Orders that this run of the instance has reserved and not sent, each as `ENDPOINT ID`. */
  unsent: string[];
}

/**
 * A simulation of instances that share one log and give orders to engines on an adversarial
 * network.
 */
export class DomainWorld {
  readonly log = new FakeLog();
  readonly engines = new Map<string, AdversarialEngine>();
  readonly violations: string[] = [];
  readonly #checksFencing: boolean;
  readonly #instances: Instance[];
  readonly #fullLedger = new DomainLedger();
  #count = 0;

  constructor(instanceCount: number, checksFencing: boolean) {
    this.#checksFencing = checksFencing;
    ['e0', 'e1'].forEach((name) => {
      this.engines.set(name, new AdversarialEngine(checksFencing, { 'model/a@1': 40 }));
    });
    this.#instances = Array.from({ length: instanceCount }, (_, index) => ({
      name: `i${index}`,
      incarnation: 1,
      ledger: new DomainLedger(),
      unsent: [],
    }));
  }

  catchUp(index: number): void {
    const { ledger } = this.#instances[index];
    this.log.read(ledger.offset + 1).records.forEach((record) => ledger.apply(record));
  }

  claim(index: number, endpoint: string): void {
    const { name, ledger } = this.#instances[index];
    const baseFence = ledger.engine(endpoint).state.fence;
    const incarnation = this.#incarnationName(index);
    this.#append({ type: 'claim', endpoint, owner: name, incarnation, baseFence });
  }

  reserve(
    index: number,
    endpoint: string,
    action: 'load' | 'unload' | 'fence',
    item: string,
  ): void {
    const instance = this.#instances[index];
    const { fence, incarnation } = instance.ledger.engine(endpoint).state;
    if (incarnation !== this.#incarnationName(index)) return;
    const id = this.#append({
      type: 'reserve',
      endpoint,
      fence,
      action,
      item,
      bytes: 40,
      capacityBytes: CAPACITY_BYTES,
      checksFencing: this.#checksFencing,
      mayVanish: false,
      ...LIMITS,
      reason: '',
    });
    instance.unsent.push(`${endpoint} ${id}`);
  }

  /** Sends the first unsent order whose reservation this instance has read from the log. */
  send(index: number): void {
    const instance = this.#instances[index];
    const ready = instance.unsent.find((key) => DomainWorld.#findOrder(instance, key));
    if (!ready) return;
    const order = DomainWorld.#findOrder(instance, ready);
    instance.unsent = instance.unsent.filter((key) => key !== ready);
    if (order) this.engines.get(ready.split(' ')[0])?.send(order);
  }

  /** Withdraws an unsent order: records that it was never sent, and does not send it. */
  withdraw(index: number): void {
    const instance = this.#instances[index];
    const [key] = instance.unsent;
    if (!key) return;
    instance.unsent = instance.unsent.slice(1);
    const [endpoint, order] = key.split(' ');
    this.#quiet(index, endpoint, order, 'neverSent');
  }

  /** Drops the copies of a sent order after the longest delivery delay; its issuer records that. */
  expire(index: number, endpoint: string): void {
    const { ledger, unsent } = this.#instances[index];
    const sent = ledger
      .engine(endpoint)
      .liveOrders.find(
        ({ id, issuer }) =>
          issuer === this.#incarnationName(index) && !unsent.includes(`${endpoint} ${id}`),
      );
    if (!sent) return;
    this.engines.get(endpoint)?.expire(sent.id);
    this.#quiet(index, endpoint, sent.id, 'time');
  }

  settle(endpoint: string, at: number, staysInFlight: boolean): void {
    const order = this.engines.get(endpoint)?.deliver(at, staysInFlight);
    if (order) this.#append({ type: 'settle', endpoint, order: order.id, result: 'done' });
  }

  /** Appends a report to the log, perhaps an outdated one. */
  observe(index: number, endpoint: string, age: number): void {
    const { fence, incarnation } = this.#instances[index].ledger.engine(endpoint).state;
    if (incarnation !== this.#incarnationName(index)) return;
    const { reports } = this.engines.get(endpoint) as AdversarialEngine;
    const report = reports[Math.max(0, reports.length - 1 - age)];
    const checksFencing = this.#checksFencing;
    this.#append({ type: 'observe', endpoint, fence, ...report, checksFencing });
  }

  kill(index: number): void {
    const instance = this.#instances[index];
    instance.incarnation += 1;
    instance.ledger = new DomainLedger();
    instance.unsent = [];
  }

  check(): void {
    this.log
      .read(this.#fullLedger.offset + 1, 1_000)
      .records.forEach((record) => this.#fullLedger.apply(record));
    this.engines.forEach((engine, name) => {
      if (engine.peakBytes > CAPACITY_BYTES) {
        this.violations.push(`${name} held ${engine.peakBytes} bytes`);
      }
    });
  }

  #incarnationName(index: number): string {
    const { name, incarnation } = this.#instances[index];
    return `${name}.${incarnation}`;
  }

  static #findOrder({ ledger }: Instance, key: string) {
    const [endpoint, id] = key.split(' ');
    return ledger.engine(endpoint).state.orders.find((order) => order.id === id);
  }

  #quiet(index: number, endpoint: string, order: string, reason: string): void {
    const { fence } = this.#instances[index].ledger.engine(endpoint).state;
    const incarnation = this.#incarnationName(index);
    this.#append({ type: 'quiet', endpoint, order, fence, incarnation, reason });
  }

  #append(entry: Readonly<Record<string, unknown>>): string {
    this.#count += 1;
    const id = `r${this.#count}`;
    this.log.timeMs += 10;
    this.log.append([{ id, ...entry }]);
    return id;
  }
}
