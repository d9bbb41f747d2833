import { Random } from '../../lib/random.js';

/** Number of requests that begin on an engine at a time, at most. */
const BEGINNING_COUNT = 4;

/** Policy that is asked before a request is sent and notified of what happened to it. */
export interface FleetObserver {
  readonly isWithheld: (parts: readonly string[], nowMs: number) => boolean;
  readonly isSuspect: (parts: readonly string[]) => boolean;
  readonly onEnd: (
    end: string,
    runs: readonly { readonly parts: readonly string[]; readonly isTest: boolean }[],
    nowMs: number,
  ) => void;
  readonly onProven: (parts: readonly string[], nowMs: number) => void;
}

/** How a history of requests and ends is generated. */
interface History {
  readonly seed: number;
  readonly requestCount: number;
  readonly engineCount: number;
  /** Parts under which an engine ends as soon as it begins to answer. */
  readonly fatalParts: readonly string[];
  /** Share of the requests that hold a fatal part. */
  readonly fatalShare: number;
  /** Probability, for each request, that a third of the engines ends by itself just then. */
  readonly crashShare: number;
}

/** Outcome of the requests. */
interface Outcome {
  /** Number of engines that ended under a fatal part. */
  fatalEndCount: number;
  /** Number of requests without and with a fatal part, and how many of them were withheld. */
  soundCount: number;
  soundWithheldCount: number;
  fatalCount: number;
  fatalWithheldCount: number;
}

interface BeginningRun {
  readonly parts: readonly string[];
  readonly isTest: boolean;
}

const MS_PER_REQUEST = 20;

/**
 * Generates requests whose prompts share parts (callers, and rarer subjects of a caller), and the ends of
 * engines under them or by themselves.
 *
 * @param history - what is generated
 * @param observer - the policy that is judged
 * @returns the outcome of the requests
 */
export const simulateFleet = (history: History, observer: FleetObserver): Outcome => {
  const random = new Random(history.seed);
  const outcome = {
    fatalEndCount: 0,
    soundCount: 0,
    soundWithheldCount: 0,
    fatalCount: 0,
    fatalWithheldCount: 0,
  };
  const engines = Array.from({ length: history.engineCount }, (): BeginningRun[] => []);
  let runNumber = 0;
  const end = (engine: number, nowMs: number): void => {
    runNumber += 1;
    observer.onEnd(`engine-${engine}@${runNumber}`, engines[engine], nowMs);
    engines[engine] = [];
  };
  const pick = (count: number): number => Math.floor(random.unit() * count);
  for (let index = 0; index < history.requestCount; index += 1) {
    const nowMs = index * MS_PER_REQUEST;
    if (random.unit() < history.crashShare) {
      engines.forEach((_, engine) => {
        if (random.unit() < 1 / 3) end(engine, nowMs);
      });
    }
    const isFatal = random.unit() < history.fatalShare;
    // Squared, so that few callers and subjects have most requests.
    const caller = Math.floor(random.unit() ** 2 * 6);
    const subject = Math.floor(random.unit() ** 2 * 40);
    const fatal = isFatal ? [history.fatalParts[pick(history.fatalParts.length)]] : [];
    const parts = [`caller-${caller}`, `subject-${subject}`, ...fatal, `own-${index}`];
    outcome[isFatal ? 'fatalCount' : 'soundCount'] += 1;
    if (observer.isWithheld(parts, nowMs)) {
      outcome[isFatal ? 'fatalWithheldCount' : 'soundWithheldCount'] += 1;
    } else {
      const engine = pick(history.engineCount);
      engines[engine].push({ parts, isTest: observer.isSuspect(parts) });
      if (isFatal) {
        end(engine, nowMs);
        outcome.fatalEndCount += 1;
      }
      while (engines[engine].length > BEGINNING_COUNT) {
        const proven = engines[engine].shift() as BeginningRun;
        observer.onProven(proven.parts, nowMs);
      }
    }
  }
  return outcome;
};
