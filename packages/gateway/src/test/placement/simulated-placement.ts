import type { EngineSpec, ServingConfig } from '@chervilseam/model';
import { PartLogger } from '@chervilseam/observe';
import { DemandMeter } from '../../lib/owner/demand-meter.js';
import { PlacementLoop } from '../../lib/owner/placement-loop.js';
import { Endpoint } from '../../lib/feed/endpoint.js';
import { endpointRecordOf } from '../endpoint-record-of.js';
import { SimulatedCallers } from './simulated-callers.js';
import { SimulatedEngine } from './simulated-engine.js';

const SERVICE = 'assistant';
const PLACE_COUNT = 3;
const MODEL_MB = 70;
const STEP_MS = 100;
const ROUND_MS = 300;
const DEMAND_WINDOW_MS = 200;
/** Expected time to load a model that is not planned, in milliseconds, without its load. */
const LOAD_START_MS = 900;

/** A fleet and what it is asked for. */
interface Scene {
  readonly engineCount: number;
  readonly loadMs: number;
  readonly storeLoadsPerSecond: number;
  /** Demand for each latency-critical model, in prompt-token equivalents per second, at a time. */
  readonly busyDemand: (atMs: number) => Readonly<Record<string, number>>;
  /** Latency-tolerant models. */
  readonly rareModels: readonly string[];
  /** Time between two callers of one rare model, in milliseconds. */
  readonly askPeriodMs: number;
}

/** The planner over a series of rounds: simulated engines, callers and time, no network. */
export class SimulatedPlacement {
  readonly callers = new SimulatedCallers();
  /** Rounds at which a model whose callers were told to return was not planned, as `model at time`. */
  readonly unplanned: string[] = [];
  /** Smallest number of replicas of each latency-critical model since the first round. */
  readonly busyReplicaMin = new Map<string, number>();
  readonly #scene: Scene;
  readonly #engines: readonly SimulatedEngine[];
  readonly #endpoints: readonly Endpoint[];
  readonly #loop: PlacementLoop;
  readonly #config: ServingConfig;
  readonly #meter = new DemandMeter(0);
  #nowMs = 0;

  /** @param scene - the fleet and what it is asked for */
  constructor(scene: Scene) {
    this.#scene = scene;
    const busy = Object.keys(scene.busyDemand(0));
    const names = [...busy, ...scene.rareModels];
    this.#engines = Array.from({ length: scene.engineCount }, (_, index) => {
      const models = Array.from(
        { length: PLACE_COUNT },
        (__, place) => names[(index + place * scene.engineCount) % names.length],
      );
      return new SimulatedEngine(`e${index}`, [...new Set(models)], scene.loadMs);
    });
    this.#endpoints = this.#engines.map(({ id }) => new Endpoint(endpointRecordOf(id)));
    const spec: EngineSpec = {
      slotCount: 24,
      kvTokenCount: 80_000,
      memoryMb: PLACE_COUNT * MODEL_MB,
      adapterSlotCount: 0,
      storeLoadsPerSecond: scene.storeLoadsPerSecond,
      models: new Map(
        names.map((name) => [
          name,
          {
            name,
            sizeMb: MODEL_MB,
            storeLoadMs: scene.loadMs,
            diskLoadMs: scene.loadMs,
            hostLoadMs: scene.loadMs,
            adapterMb: 0,
          },
        ]),
      ),
    };
    this.#config = {
      services: new Map([[SERVICE, { name: SERVICE, engine: spec }]]),
    } as unknown as ServingConfig;
    const engine = (id: string) => this.#engines.find((one) => one.id === id);
    this.#loop = new PlacementLoop({
      logger: PartLogger.forInstance('self', 'fatal')('engine'),
      nowMs: () => this.#nowMs,
      endpoints: () => this.#endpoints,
      endpointsOf: () => this.#endpoints,
      endpoint: (id) => this.#endpoints.find((one) => one.id === id),
      engineState: (id) => engine(id)?.state(this.#nowMs),
      requestMove: (id, move) => engine(id)?.begin(move, this.#nowMs),
      demand: () =>
        new Map([...this.#meter.demand(), ...Object.entries(scene.busyDemand(this.#nowMs))]),
      lossWeights: () => ({}),
      urgentModels: () => new Set(busy),
      lateAfterLoadModels: () =>
        new Set([...busy, ...this.#meter.lateAfterLoadModels(this.#nowMs)]),
      awaited: () => this.callers.awaited,
      returning: () => new Set(this.callers.returns.models(this.#nowMs)),
      returningSoon: () =>
        new Set(this.callers.returns.due(this.#nowMs, () => scene.loadMs + 2_200)),
      peerLoads: () => ({}),
      unloadMs: () => 0,
      loadWindowMs: 5_000,
      loadSlackRatio: 1.1,
      onPlanned: () => undefined,
    });
  }

  /** @param durationMs - how long callers ask and the planner plans, in milliseconds */
  async run(durationMs: number): Promise<void> {
    const { rareModels, askPeriodMs, busyDemand } = this.#scene;
    const endMs = this.#nowMs + durationMs;
    while (this.#nowMs < endMs) {
      this.#nowMs += STEP_MS;
      this.#engines.forEach((engine) => engine.tick(this.#nowMs));
      const ready = new Set(this.#engines.flatMap(({ models }) => models));
      const context = { ready, etaMs: (model: string) => this.#etaMs(model) };
      rareModels.forEach((model, index) => {
        const offsetMs = Math.floor((index * askPeriodMs) / rareModels.length / STEP_MS) * STEP_MS;
        if ((this.#nowMs + offsetMs) % askPeriodMs !== 0) return;
        this.#recordDemand(model);
        this.callers.ask(model, this.#nowMs, context);
      });
      this.callers.tick(this.#nowMs, context);
      if (this.#nowMs % DEMAND_WINDOW_MS === 0) this.#meter.tick(this.#nowMs);
      // eslint-disable-next-line no-await-in-loop
      if (this.#nowMs % ROUND_MS === 0) await this.#round(ready);
      Object.keys(busyDemand(this.#nowMs)).forEach((model) => this.#noteReplicas(model));
    }
  }

  async #round(ready: ReadonlySet<string>): Promise<void> {
    this.#loop.observe(this.#config);
    await this.#loop.tick(this.#config);
    const planned = new Set(Object.keys(this.#loop.planned));
    this.callers.returns
      .models(this.#nowMs)
      .filter((model) => !ready.has(model) && !planned.has(model))
      .forEach((model) => this.unplanned.push(`${model} at ${this.#nowMs}`));
  }

  #noteReplicas(model: string): void {
    const count = this.#engines.filter(({ models }) => models.includes(model)).length;
    const known = this.busyReplicaMin.get(model) ?? Infinity;
    this.busyReplicaMin.set(model, Math.min(known, count));
  }

  #etaMs(model: string): number {
    const loading = this.#engines.flatMap((engine) => engine.state(this.#nowMs).loading);
    const begun = loading.find((load) => load.model === model);
    if (begun) return begun.remainingMs;
    return this.#loop.planned[model] ?? LOAD_START_MS + this.#scene.loadMs;
  }

  #recordDemand(model: string): void {
    const head = { requestId: '', model, promptTokenCount: 630, outputTokenCountMax: 900 };
    this.#meter.recordRequest({ ...head, promptParts: [] }, 24, {
      isUrgent: false,
      isLateAfterLoad: true,
      lossWeight: 0.5,
    });
  }
}
