import { Random } from '@chervilseam/decisions';
import { FluidEngine } from './fluid-engine.js';
import type { SimRequest } from './sim-request.js';
import { VirtualClock } from './virtual-clock.js';

/** Engines, models and network of a deployment. */
interface DeploymentShape {
  readonly name: string;
  /** Relative speeds of the engines that serve the models of assistants; 1 is the usual speed. */
  readonly assistantSpeeds: readonly number[];
  /** Relative speeds of the engines that serve the models of the order desk. */
  readonly deskSpeeds: readonly number[];
  /** Number of models, those of the order desk included. */
  readonly modelCount: number;
  readonly deskModelCount: number;
  /**
   * Maximum number of engines that serve a model. The replicas of a model are three engines apart, and
   * those that fall on the same engine count once: with three engines for the order desk, each of its
   * models has one replica.
   */
  readonly replicaCount: number;
  /** One-way network delay between a caller and its entry instance, in milliseconds. */
  readonly callerMs: number;
}

const DOMAIN_COUNT = 3;
const ENTRY_COUNT = 6;
/** Time between tokens of a single stream on an engine of speed 1, in milliseconds. */
const BASE_TOKEN_MS = 20;
/** Growth of the time between tokens for each further stream, as a fraction of a single stream's. */
const SLOWDOWN_PER_STREAM = 0.026;
/** Prefill speed of an engine of speed 1. */
const PROMPT_TOKENS_PER_MS = 8;
const STREAM_COUNT_MAX = 64;
const MEAN_TOKENS = 120;
const MEAN_PROMPT_TOKENS = 400;

/** The simulated deployment of one run: engines, entry instances, random numbers and a clock. */
export class SimWorld {
  readonly clock = new VirtualClock();
  readonly random: Random;
  readonly engines: FluidEngine[];
  readonly shape: DeploymentShape;
  /** All requests of the run, in order of arrival. */
  readonly requests: SimRequest[] = [];
  /** Indexes of the engines that can serve each model, by index of the model. */
  readonly replicas: number[][] = [];
  readonly entryCount = ENTRY_COUNT;
  #requestCount = 0;

  constructor(shape: DeploymentShape, seed: number) {
    this.shape = shape;
    this.random = new Random(seed);
    const speeds = [...shape.assistantSpeeds, ...shape.deskSpeeds];
    this.engines = speeds.map(
      (speed, index) =>
        new FluidEngine(this.clock, {
          index,
          domain: index % DOMAIN_COUNT,
          baseTokenMs: BASE_TOKEN_MS / speed,
          slowdownPerStream: SLOWDOWN_PER_STREAM,
          promptTokensPerMs: PROMPT_TOKENS_PER_MS * speed,
          streamCountMax: STREAM_COUNT_MAX,
        }),
    );
    this.#placeModels();
  }

  /**
   * Number of requests of mean length per second that all engines together serve within the token
   * target.
   */
  get capacityPerSecond(): number {
    return this.engines.reduce((sum, engine) => {
      const count = engine.streamCountAtTarget;
      return sum + ((count / engine.tokenMs(count)) * 1_000) / MEAN_TOKENS;
    }, 0);
  }

  /**
   * One-way network delay between an entry instance and the owner of an engine, in milliseconds; less
   * within a failure domain.
   */
  hopMs(entry: number, engine: number): number {
    return entry % DOMAIN_COUNT === this.engines[engine].shape.domain ? 0.1 : 1;
  }

  /** Creates a request that arrives now; what the options leave out is drawn at random. */
  createRequest(model: number, options: { tokens?: number; isCounter?: boolean } = {}): SimRequest {
    this.#requestCount += 1;
    const tokens = options.tokens ?? Math.ceil(this.random.exponential(MEAN_TOKENS)) + 1;
    const isCounter = options.isCounter ?? this.random.unit() < 0.2;
    const request: SimRequest = {
      id: `r${this.#requestCount}`,
      arrivedMs: this.clock.nowMs,
      entry: this.random.below(ENTRY_COUNT),
      model,
      promptTokens: Math.ceil(this.random.exponential(MEAN_PROMPT_TOKENS)) + 20,
      tokens,
      isCounter,
      isLong: options.tokens !== undefined,
      caller: isCounter ? 'counter' : `caller-${this.random.below(5)}`,
      engine: -1,
      firstTokenMs: undefined,
      doneMs: undefined,
      refusedMs: undefined,
      slowTokens: 0,
      moves: 0,
    };
    this.requests.push(request);
    return request;
  }

  #placeModels(): void {
    const { assistantSpeeds, deskSpeeds, modelCount, deskModelCount, replicaCount } = this.shape;
    for (let model = 0; model < modelCount; model += 1) {
      const isDesk = model >= modelCount - deskModelCount;
      const firstEngine = isDesk ? assistantSpeeds.length : 0;
      const count = isDesk ? deskSpeeds.length : assistantSpeeds.length;
      const modelReplicas = Array.from(
        { length: Math.min(replicaCount, count) },
        (_, replica) => firstEngine + ((model + replica * 3) % count),
      );
      this.replicas.push([...new Set(modelReplicas)]);
    }
  }
}
