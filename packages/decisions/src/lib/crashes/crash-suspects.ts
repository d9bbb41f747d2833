import { hashOf } from '../ownership/hash-of.js';
import { CaughtShare } from './caught-share.js';
import type { EngineEnd } from './engine-end.js';
import { isEngineEnd } from './is-engine-end.js';
import type { SuspectRun } from './suspect-run.js';
import type { Withheld } from './withheld.js';

/** Bounds of the number of ends from which a part is withheld if nothing else explains them. */
const WITHHELD_END_COUNT_MIN = 3;
const WITHHELD_END_COUNT_MAX = 5;
/** Probability that as many ends are a coincidence, at most. */
const COINCIDENCE_MAX = 1e-5;
/** Numbers of ends and of different prompts from which a part can explain the ends of another one. */
const EXPLAINING_END_COUNT = 2;
const EXPLAINING_PROMPT_COUNT = 2;
/** Time from the last end to the first trial, in milliseconds; it doubles with each further end. */
const TRIAL_MIN_MS = 10_000;
const TRIAL_MAX_MS = 480_000;
/** Time that an end is remembered, in milliseconds: several of the longest times between two trials. */
const END_TTL_MS = 2_400_000;
/** The same for an end whose runs have all been cleared: until every instance knows. */
const CLEARED_TTL_MS = 60_000;
/** Precision of published ages, by the age up to which it applies, in seconds. */
const AGE_STEPS_S = [
  { ageMaxS: 30, stepS: 1 },
  { ageMaxS: 300, stepS: 10 },
  { ageMaxS: Infinity, stepS: 60 },
] as const;
/** A part of an answer that got past its beginning is not suspected for this long, in milliseconds. */
const PROVEN_TTL_MS = 1_000;
/** Bounds of what is kept and published: ends, runs of an end, parts of a run, length of an id. */
const END_COUNT_MAX = 64;
const RUN_COUNT_MAX = 32;
const PART_COUNT_MAX = 32;
const PART_LENGTH_MAX = 64;
/** Time that what is published stays the same unless something new is known, in milliseconds. */
const PUBLISHED_TTL_MS = 1_000;
/** Number of parts whose last proof is remembered. */
const PROVEN_COUNT_MAX = 2_048;
const MS_PER_SECOND = 1_000;

interface KnownEnd {
  readonly atMs: number;
  readonly runs: Map<string, SuspectRun>;
  readonly clearedParts: Set<string>;
}

/** What is known of a part that was in a run at the end of an engine and has not been cleared. */
interface Suspect {
  /** When each of the engines ended, by the end's id, in milliseconds. */
  readonly endMs: Map<string, number>;
  /** Keys of the last parts of the prompts. */
  readonly prompts: Set<string>;
  /** Whether it was the last part of each of the prompts, which only repeats of one request share. */
  isOwnPart: boolean;
  /** Whether an engine ended under a run that was sent when the part was suspected already. */
  isTested: boolean;
}

// Part ids come from callers: only a hash of them is used as the key of an object.
const promptKeyOf = (parts: readonly string[]): string =>
  hashOf(parts.at(-1) as string).toString(36);

// Rounded up, so that no end grows younger on its way between instances; in steps, so that it is not sent
// anew each second.
const publishedAgeS = (ageMs: number): number => {
  const ageS = ageMs / MS_PER_SECOND;
  const step = AGE_STEPS_S.find(({ ageMaxS }) => ageS <= ageMaxS);
  return step ? Math.ceil(ageS / step.stepS) * step.stepS : ageS;
};

const isExpired = (atMs: number, runCount: number, nowMs: number): boolean =>
  nowMs > atMs + (runCount > 0 ? END_TTL_MS : CLEARED_TTL_MS);

const canExplain = ({ endMs, prompts }: Suspect): boolean =>
  endMs.size >= EXPLAINING_END_COUNT && prompts.size >= EXPLAINING_PROMPT_COUNT;

const endsOf = (suspects: readonly Suspect[]): Set<string> =>
  new Set(suspects.flatMap(({ endMs }) => [...endMs.keys()]));

/**
 * Finds the part of a prompt under which engines end.
 *
 * An engine that ends breaks off all its runs, and any of those that had just begun to be answered may be
 * the cause. The effect is certain: each engine that begins to answer a prompt with such a part ends. So an
 * answer that got past its beginning clears all parts of its prompt, and what remains suspect is narrowed
 * by each further end. A request is withheld when at least three engines ended under one of its parts, one
 * of them under a request that was sent in spite of the suspicion, and no parts outside the request explain
 * these ends. Where engines often end by themselves, up to five are needed. Engines that crash together by
 * themselves are no test, and the next answer clears the parts that they had in common.
 *
 * Ends and clearances of all instances are merged, so each instance comes to the same result.
 */
export class CrashSuspects {
  readonly #ends = new Map<string, KnownEnd>();
  #suspects = new Map<string, Suspect>();
  /** What was last published; states are compared faster when it is the same object. */
  #published:
    { readonly atMs: number; readonly ends: Readonly<Record<string, EngineEnd>> } | undefined;
  /** Ends of other instances that were merged; a state shares those that have not changed with the last. */
  readonly #merged = new WeakSet<EngineEnd>();
  /** How often runs are caught in ends of engines that they did not cause. */
  readonly #caught = new CaughtShare();
  /** When an answer last got past its beginning on a part, in milliseconds. */
  readonly #provenMs = new Map<string, number>();

  /** Number of ends that are remembered. */
  get endCount(): number {
    return this.#ends.size;
  }

  /** Number of ends from which a part is withheld if nothing else explains them. */
  get #withheldEndCount(): number {
    const count = Math.log(COINCIDENCE_MAX) / Math.log(this.#caught.share);
    return Math.min(WITHHELD_END_COUNT_MAX, Math.max(WITHHELD_END_COUNT_MIN, Math.ceil(count)));
  }

  /** Parts that are suspected, with the number of ends, most ends first. */
  get suspects(): readonly { readonly part: string; readonly endCount: number }[] {
    return [...this.#suspects]
      .map(([part, { endMs }]) => ({ part, endCount: endMs.size }))
      .sort((left, right) => right.endCount - left.endCount);
  }

  /**
   * Records what this instance saw of the end of an engine.
   *
   * @param end - id of the end: of the engine and its run
   * @param runs - runs that had not got past the beginning of their answers
   * @param nowMs - monotonic clock, in milliseconds
   */
  record(end: string, runs: readonly SuspectRun[], nowMs: number): void {
    const suspectRuns = runs.flatMap(({ parts, isTest }) => {
      const suspectParts = parts.filter((part) => this.#isTracked(part, nowMs));
      return suspectParts.length > 0
        ? [{ key: promptKeyOf(parts), parts: suspectParts, isTest }]
        : [];
    });
    // One of the runs may be the cause.
    this.#caught.count(runs.length - 1, 0, nowMs);
    this.#add(end, nowMs, suspectRuns, []);
    this.#index(nowMs);
  }

  /**
   * Merges the ends that another instance knows.
   *
   * @param ends - the ends, by their ids
   * @param nowMs - monotonic clock, in milliseconds
   * @returns ids of the ends that were not known here
   */
  merge(ends: Readonly<Record<string, EngineEnd>>, nowMs: number): string[] {
    const entries = Object.entries(ends).filter(
      ([, end]) => isEngineEnd(end) && !this.#merged.has(end),
    );
    if (entries.length === 0) return [];
    const newEnds = entries.flatMap(([end, received]) => {
      this.#merged.add(received);
      const { ageS, runs, clearedParts } = received;
      const isNew = !this.#ends.has(end);
      const atMs = nowMs - ageS * MS_PER_SECOND;
      if (isNew && isExpired(atMs, Object.keys(runs).length, nowMs)) return [];
      const keyed = Object.entries(runs).map(([key, run]) => ({ key, ...run }));
      this.#add(end, atMs, keyed, clearedParts);
      return isNew ? [end] : [];
    });
    this.#index(nowMs);
    return newEnds;
  }

  /**
   * Clears the parts of a prompt on which an answer got past its beginning.
   *
   * @param parts - the parts
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the parts that were suspected
   */
  clear(parts: readonly string[], nowMs: number): string[] {
    this.#caught.count(0, 1, nowMs);
    parts.forEach((part) => {
      this.#provenMs.delete(part);
      this.#provenMs.set(part, nowMs);
    });
    while (this.#provenMs.size > PROVEN_COUNT_MAX) {
      this.#provenMs.delete(this.#provenMs.keys().next().value as string);
    }
    const cleared = parts.filter((part) => this.#suspects.has(part));
    if (cleared.length === 0) return cleared;
    cleared.forEach((part) => {
      const { endMs } = this.#suspects.get(part) as Suspect;
      endMs.forEach((_, end) => this.#ends.get(end)?.clearedParts.add(part));
    });
    this.#index(nowMs);
    return cleared;
  }

  /** @returns whether any part of a prompt is suspected */
  isSuspect(parts: readonly string[]): boolean {
    return this.#suspects.size > 0 && parts.some((part) => this.#suspects.has(part));
  }

  /**
   * @param parts - parts of the prompt of a request
   * @param nowMs - monotonic clock, in milliseconds
   * @returns why the request is withheld; `undefined` when it may be sent
   */
  withheld(parts: readonly string[], nowMs: number): Withheld | undefined {
    if (!this.isSuspect(parts)) return undefined;
    const within = parts.flatMap((part) => {
      const suspect = this.#suspects.get(part);
      return suspect && this.#isWithholdable(suspect) ? [{ part, suspect }] : [];
    });
    if (within.length === 0) return undefined;
    const inPrompt = new Set(parts);
    const outside = [...this.#suspects].flatMap(([part, suspect]) =>
      !inPrompt.has(part) && canExplain(suspect) ? [suspect] : [],
    );
    const explained = endsOf(outside);
    const isUnexplained = ({ suspect }: { suspect: Suspect }): boolean =>
      [...suspect.endMs.keys()].some((end) => !explained.has(end));
    // The later parts of a prompt are the rarer ones.
    const [cause] = within
      .filter(isUnexplained)
      .reverse()
      .sort((left, right) => right.suspect.endMs.size - left.suspect.endMs.size);
    if (!cause) return undefined;
    const { endMs, prompts } = cause.suspect;
    const lastMs = Math.max(...endMs.values());
    const trialMs = Math.min(
      TRIAL_MAX_MS,
      TRIAL_MIN_MS * 2 ** (endMs.size - WITHHELD_END_COUNT_MIN),
    );
    return {
      promptPart: cause.part,
      endCount: endMs.size,
      promptCount: prompts.size,
      trialInMs: Math.max(0, lastMs + trialMs - nowMs),
    };
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns all that is known here, for other instances
   */
  published(nowMs: number): Readonly<Record<string, EngineEnd>> {
    if (this.#published && nowMs < this.#published.atMs + PUBLISHED_TTL_MS) {
      return this.#published.ends;
    }
    const ends = Object.fromEntries(
      [...this.#ends].map(([end, { atMs, runs, clearedParts }]) => [
        end,
        {
          ageS: publishedAgeS(nowMs + PUBLISHED_TTL_MS - atMs),
          runs: Object.fromEntries(runs),
          clearedParts: [...clearedParts],
        },
      ]),
    );
    this.#published = { atMs: nowMs, ends };
    return ends;
  }

  /** Forgets what is too old, at a moment in milliseconds of the monotonic clock. */
  expire(nowMs: number): void {
    if (this.#ends.size > 0) this.#index(nowMs);
  }

  #isWithholdable({ endMs, prompts, isOwnPart, isTested }: Suspect): boolean {
    return endMs.size >= this.#withheldEndCount && isTested && (prompts.size > 1 || isOwnPart);
  }

  #isTracked(part: string, nowMs: number): boolean {
    const isProven = nowMs < (this.#provenMs.get(part) ?? -Infinity) + PROVEN_TTL_MS;
    return !isProven && part.length <= PART_LENGTH_MAX;
  }

  #add(
    end: string,
    atMs: number,
    runs: readonly (SuspectRun & { readonly key: string })[],
    clearedParts: readonly string[],
  ): void {
    const known = this.#ends.get(end) ?? { atMs, runs: new Map(), clearedParts: new Set() };
    this.#ends.set(end, known);
    clearedParts.forEach((part) => known.clearedParts.add(part));
    runs.forEach(({ key, parts, isTest }) => {
      const run = known.runs.get(key);
      if (!run && known.runs.size >= RUN_COUNT_MAX) return;
      const united = [...new Set([...(run?.parts ?? []), ...parts])].slice(-PART_COUNT_MAX);
      known.runs.set(key, { parts: united, isTest: isTest || (run?.isTest ?? false) });
    });
  }

  // Drops cleared runs and old ends, and collects the suspects anew; ends are rare.
  #index(nowMs: number): void {
    this.#published = undefined;
    this.#ends.forEach((end, id) => {
      end.runs.forEach(({ parts }, key) => {
        if (parts.every((part) => end.clearedParts.has(part))) end.runs.delete(key);
      });
      if (isExpired(end.atMs, end.runs.size, nowMs)) this.#ends.delete(id);
    });
    this.#trim();
    this.#suspects = new Map();
    this.#ends.forEach(({ atMs, runs, clearedParts }, id) => {
      runs.forEach(({ parts, isTest }, key) => {
        parts
          .filter((part) => !clearedParts.has(part))
          .forEach((part) => {
            const suspect = this.#suspects.get(part) ?? {
              endMs: new Map<string, number>(),
              prompts: new Set<string>(),
              isOwnPart: true,
              isTested: false,
            };
            suspect.endMs.set(id, atMs);
            suspect.prompts.add(key);
            suspect.isOwnPart &&= promptKeyOf([part]) === key;
            suspect.isTested ||= isTest;
            this.#suspects.set(part, suspect);
          });
      });
    });
  }

  // Over the limit, ends without a part of several ends go first, the oldest of them first.
  #trim(): void {
    if (this.#ends.size <= END_COUNT_MAX) return;
    const isShared = ({ runs }: KnownEnd): boolean =>
      [...runs.values()].some(({ parts }) =>
        parts.some((part) => (this.#suspects.get(part)?.endMs.size ?? 0) > 1),
      );
    [...this.#ends]
      .sort(
        ([, left], [, right]) =>
          Number(isShared(left)) - Number(isShared(right)) || left.atMs - right.atMs,
      )
      .slice(0, this.#ends.size - END_COUNT_MAX)
      .forEach(([id]) => this.#ends.delete(id));
  }
}
