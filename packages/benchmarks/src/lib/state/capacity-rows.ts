import { ConfigFold, ConfigView, DomainLedger, KeyHome } from '@chervilseam/decisions';
import type { BenchRow } from '../bench-row.js';
import { linearFit } from './linear-fit.js';

const MICROSECONDS_PER_MS = 1_000;

/** Memory and processing time of one kind of state at one size. */
interface SizeMeasure {
  /** Number of items in the state: keys, engines or objects. */
  readonly size: number;
  readonly heapBytes: number;
  /** Time to apply one event, in microseconds; for keys, a claim with its outcome. */
  readonly eventUs: number;
}

const usedHeapBytes = (): number => {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
};

/** Number of states that are built; the memory of a single one is lost in the noise of the heap. */
const COPY_COUNT = 20;

/**
 * Builds a state several times and measures its memory and time.
 *
 * @param size - number of items in the state
 * @param eventCount - number of events that one build applies
 * @param build - builds the state
 */
function measure(size: number, eventCount: number, build: () => unknown): SizeMeasure {
  const bytesBefore = usedHeapBytes();
  const startMs = performance.now();
  const copies = Array.from({ length: COPY_COUNT }, build);
  const tookMs = performance.now() - startMs;
  const heapBytes = (usedHeapBytes() - bytesBefore) / COPY_COUNT;
  // This use keeps the states from being collected before their memory is measured.
  if (copies.includes(undefined)) throw new Error('build returned no state');
  return { size, heapBytes, eventUs: (tookMs * MICROSECONDS_PER_MS) / eventCount / COPY_COUNT };
}

/** Runs the reads and appends that a key home requests, on a log stream in memory. */
class InMemoryKeyLog {
  #records: { readonly offset: number; readonly timeMs: number; readonly value: unknown }[] = [];
  #offset = 0;

  runActions(home: KeyHome): void {
    for (let action = home.next(this.#offset); action; action = home.next(this.#offset)) {
      if (action.type === 'read') {
        home.onRead({ firstOffset: 1, nextOffset: this.#offset + 1, records: this.#records });
        this.#records = [];
        home.takeAnswers();
        return;
      }
      home.onAppended(this.#append(action.values));
    }
  }

  #append(values: readonly unknown[]): number {
    const first = this.#offset + 1;
    this.#records = values.map((value, index) => ({ offset: first + index, timeMs: first, value }));
    this.#offset += values.length;
    return first;
  }
}

function measureKeys(count: number): SizeMeasure {
  return measure(count, count, () => {
    const home = new KeyHome('bench', { memoryMs: 1e9, lingerMs: 0, snapshotEvery: 1e9 });
    const log = new InMemoryKeyLog();
    for (let index = 0; index < count; index += 1) {
      const key = `${index}`.padStart(32, '0');
      const attempt = `instance-1-0123456789ab.k${index}`;
      home.claim({ key, digest: key + key, attempt, dispatcher: 'instance-1-0123456789ab' });
      if (index % 50 === 49) log.runActions(home);
      home.settle({ key, attempt, type: 'outcome', outcome: 'ran', status: 200, body: undefined });
    }
    log.runActions(home);
    return home;
  });
}

function measureDomain(engines: number): SizeMeasure {
  const perEngine = 30;
  return measure(engines, engines * perEngine, () => {
    const ledger = new DomainLedger();
    let offset = 0;
    const apply = (value: unknown): void => {
      offset += 1;
      ledger.apply({ offset, timeMs: offset * 1_000, value });
    };
    for (let index = 0; index < engines; index += 1) {
      const endpoint = `engine-${index}`;
      const incarnation = `instance-${index % 105}-0123456789ab`;
      const owner = `instance-${index % 105}`;
      apply({ id: `c${index}`, type: 'claim', endpoint, owner, incarnation, baseFence: 0 });
      const fence = offset;
      const residents = Object.fromEntries(
        [0, 1, 2, 3].map((slot) => [`model/model-${(index * 4 + slot) % 110}@1`, 16e9]),
      );
      const checksFencing = true;
      const observed = { bootId: 'b', residents, settledOrders: [], checksFencing };
      for (let count = 0; count < perEngine - 2; count += 1) {
        apply({ id: `o${index}.${count}`, type: 'observe', endpoint, fence, ...observed });
      }
      const tokensPerSecond = { 'model-1': 100 };
      apply({ id: `d${index}`, type: 'demand', instance: owner, isWhole: true, tokensPerSecond });
    }
    return ledger;
  });
}

function measureConfig(objects: number): SizeMeasure {
  return measure(objects, objects, () => {
    const fold = new ConfigFold();
    for (let index = 0; index < objects; index += 1) {
      const name = `m${index}`;
      const body = { name, weightsBytes: index, labels: { tier: 'resident', desk: 'counter' } };
      const changes = [{ kind: 'model', name, baseRevision: 0, body }];
      fold.apply(index + 1, { type: 'config', id: `r${index}`, author: 'bench', changes });
    }
    return { fold, view: new ConfigView(fold.offset, fold.objects) };
  });
}

const row = (metric: string, value: number, unit: string): BenchRow => ({
  scenario: 'capacity',
  metric,
  value,
  unit,
  bound: '',
  baselines: {},
  seeds: 1,
});

function fitRows(name: string, measures: readonly SizeMeasure[]): BenchRow[] {
  const memory = linearFit(measures.map(({ size, heapBytes }) => [size, heapBytes] as const));
  const time = linearFit(measures.map(({ size, eventUs }) => [size, eventUs] as const));
  return [
    ...measures.flatMap(({ size, heapBytes, eventUs }) => [
      row(`${name}/heap/${size}`, heapBytes, 'bytes'),
      row(`${name}/event/${size}`, eventUs, 'us'),
    ]),
    row(`${name}/heapSlope`, memory.slope, 'bytes each'),
    row(`${name}/heapFitError`, memory.errorShare, 'ratio'),
    row(`${name}/eventSlope`, time.slope, 'us each'),
  ];
}

/**
 * Measures memory and processing time of each kind of state that grows with the system, at three
 * sizes.
 *
 * @returns rows for each figure and for its slope over the size
 */
export function capacityRows(): BenchRow[] {
  // Warms up the just-in-time compiler.
  measureKeys(2_000);
  measureDomain(10);
  measureConfig(100);
  return [
    ...fitRows('keys', [5_000, 10_000, 20_000].map(measureKeys)),
    ...fitRows('domain', [38, 75, 150].map(measureDomain)),
    ...fitRows('config', [500, 1_000, 2_000].map(measureConfig)),
  ];
}
