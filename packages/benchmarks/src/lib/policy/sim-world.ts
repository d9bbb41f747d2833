import { Random } from '@chervilseam/decisions';
import { FluidEngine } from './fluid-engine.js';
import type { SimRequest } from './sim-request.js';
import { VirtualClock } from './virtual-clock.js';

/** A deployment as the brief gives it. */
interface DeploymentShape {
  readonly name: string;
  /** Speeds of the engines that share the assistants' models, 1 being the usual one. */
  readonly assistantSpeeds: readonly number[];
  /** Speeds of the engines of the order desk or counter. */
  readonly deskSpeeds: readonly number[];
  readonly modelCount: number;
  readonly deskModelCount: number;
  readonly replicaCount: number;
  /** One way between caller and entry, in milliseconds. */
  readonly callerMs: number;
}

const DOMAIN_COUNT = 3;
const ENTRY_COUNT = 6;
const LONE_TOKEN_MS = 20;
const CROWDING = 0.026;
const PROMPT_TOKENS_PER_MS = 8;
const STREAM_COUNT_MAX = 64;
const MEAN_TOKENS = 120;
const MEAN_PROMPT_TOKENS = 400;

/** One run: engines, entries, random numbers and a clock. */
export class SimWorld {
  readonly clock = new VirtualClock();
  readonly random: Random;
  readonly engines: FluidEngine[];
  readonly shape: DeploymentShape;
  readonly requests: SimRequest[] = [];
  /** Engines of each model. */
  readonly replicas: number[][] = [];
  readonly entryCount = ENTRY_COUNT;
  #count = 0;

  constructor(shape: DeploymentShape, seed: number) {
    this.shape = shape;
    this.random = new Random(seed);
    const speeds = [...shape.assistantSpeeds, ...shape.deskSpeeds];
    this.engines = speeds.map(
      (speed, index) =>
        new FluidEngine(this.clock, {
          index,
          domain: index % DOMAIN_COUNT,
          loneTokenMs: LONE_TOKEN_MS / speed,
          crowding: CROWDING,
          promptTokensPerMs: PROMPT_TOKENS_PER_MS * speed,
          streamCountMax: STREAM_COUNT_MAX,
        }),
    );
    this.#placeModels();
  }

  /** Requests a second that keep the targets, by the engines' own speeds. */
  get capacityPerSecond(): number {
    return this.engines.reduce((sum, engine) => {
      const count = engine.streamCountAtTarget;
      return sum + ((count / engine.tokenMs(count)) * 1_000) / MEAN_TOKENS;
    }, 0);
  }

  /** One way between an entry and an engine's owner, in milliseconds. */
  hopMs(entry: number, engine: number): number {
    return entry % DOMAIN_COUNT === this.engines[engine].shape.domain ? 0.1 : 1;
  }

  /** Makes a request that arrives now. */
  createRequest(model: number, options: { tokens?: number; isCounter?: boolean } = {}): SimRequest {
    this.#count += 1;
    const tokens = options.tokens ?? Math.ceil(this.random.exponential(MEAN_TOKENS)) + 1;
    const isCounter = options.isCounter ?? this.random.unit() < 0.2;
    const request: SimRequest = {
      id: `r${this.#count}`,
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
      const first = isDesk ? assistantSpeeds.length : 0;
      const count = isDesk ? deskSpeeds.length : assistantSpeeds.length;
      const chosen = Array.from(
        { length: Math.min(replicaCount, count) },
        (_, replica) => first + ((model + replica * 3) % count),
      );
      this.replicas.push([...new Set(chosen)]);
    }
  }
}
