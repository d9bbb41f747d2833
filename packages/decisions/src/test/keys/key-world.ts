import { KeyHome } from '../../lib/keys/key-home.js';
import type { KeyVerdict } from '../../lib/keys/key-verdict.js';
import { FakeLog } from '../fake-log.js';

/**
 * How a call to the log ends. `ok`: it succeeds; `doubled`: it succeeds, and an append takes effect
 * a second time later. The others end in a failure, but an append takes effect at once
 * (`answerLost`), later (`delayed`) or never (`dropped`).
 */
type LogFate = 'ok' | 'answerLost' | 'dropped' | 'delayed' | 'doubled';

/**
 * How a granted attempt ends. `lost`: it took effect, but the dispatcher cannot know;
 * `suspendedThenRan`: it took effect, but the dispatcher records no outcome.
 */
type RunFate = 'ran' | 'lost' | 'refused' | 'suspendedThenRan';

interface Attempt {
  readonly key: string;
  readonly home: number;
  readonly incarnation: number;
  state: 'claimed' | 'abandoned' | 'granted' | 'ended';
}

const OPTIONS = { memoryMs: 1e9, lingerMs: 0, snapshotEvery: 6 };

/**
 * Simulates several key homes on one faulty log, with an oracle that counts effects by key. A
 * killed home restarts at once. Each attempt is dispatched at most once, by the instance of its
 * home.
 */
export class KeyWorld {
  readonly log = new FakeLog();
  readonly effects = new Map<string, number>();
  /** Attempts that were reported as not run: these must never take effect. */
  readonly notRunIds = new Set<string>();
  readonly violations: string[] = [];
  readonly attempts = new Map<string, Attempt>();
  readonly verdicts: KeyVerdict['type'][] = [];
  readonly #homes: KeyHome[] = [];
  readonly #incarnations: number[] = [];
  #count = 0;

  constructor(homeCount: number) {
    for (let index = 0; index < homeCount; index += 1) {
      this.#incarnations.push(0);
      this.#homes.push(this.#createHome(index));
    }
  }

  claim(home: number, key: string): void {
    this.#count += 1;
    const attempt = `a${this.#count}`;
    const incarnation = this.#incarnations[home];
    this.attempts.set(attempt, { key, home, incarnation, state: 'claimed' });
    const dispatcher = `h${home}.${incarnation}`;
    this.#homes[home].claim({ key, digest: key, attempt, dispatcher });
    this.#takeAnswers(home);
  }

  step(home: number, fate: LogFate): void {
    this.log.timeMs += 1;
    const action = this.#homes[home].next(this.log.timeMs);
    if (action?.type === 'append') this.#append(home, action.values, fate);
    if (action?.type === 'read') this.#read(home, action.fromOffset, fate);
    this.#takeAnswers(home);
  }

  /** Ends a granted attempt. */
  run(fate: RunFate): void {
    const found = [...this.attempts].find(([, { state }]) => state === 'granted');
    if (!found) return;
    const [id, attempt] = found;
    attempt.state = 'ended';
    const { key, home, incarnation } = attempt;
    const isAlive = this.#incarnations[home] === incarnation;
    if (fate !== 'refused') this.#recordEffect(id, key);
    if (!isAlive || fate === 'suspendedThenRan') return;
    const common = { key, attempt: id };
    if (fate === 'ran') {
      this.#homes[home].settle({
        ...common,
        type: 'outcome',
        outcome: 'ran',
        status: 200,
        body: id,
      });
    }
    if (fate === 'lost') {
      this.#homes[home].settle({
        ...common,
        type: 'outcome',
        outcome: 'unknown',
        status: 0,
        body: undefined,
      });
    }
    if (fate === 'refused') {
      this.notRunIds.add(id);
      this.#homes[home].settle({ ...common, type: 'release' });
    }
  }

  /** A dispatcher stops waiting for a claim; a home then releases the attempt on its behalf. */
  abandonClaim(releasingHome: number): void {
    const found = [...this.attempts].find(([, { state }]) => state === 'claimed');
    if (!found) return;
    const [id, attempt] = found;
    attempt.state = 'abandoned';
    this.notRunIds.add(id);
    this.#homes[releasingHome].settle({ key: attempt.key, attempt: id, type: 'release' });
  }

  /** Kills a home and its dispatcher; attempts that were granted before may still run. */
  kill(home: number): void {
    this.#incarnations[home] += 1;
    this.#homes[home] = this.#createHome(home);
    this.attempts.forEach((attempt) => {
      // eslint-disable-next-line no-param-reassign -- the object belongs to this class
      if (attempt.home === home && attempt.state === 'claimed') attempt.state = 'ended';
    });
  }

  /** Runs every home without faults until nothing is pending. */
  settle(): void {
    for (let round = 0; round < 60; round += 1) {
      this.log.deliver();
      this.#homes.forEach((_, home) => this.step(home, 'ok'));
    }
  }

  #createHome(index: number): KeyHome {
    return new KeyHome(`h${index}.${this.#incarnations[index]}`, OPTIONS);
  }

  #append(home: number, values: readonly unknown[], fate: LogFate): void {
    if (fate === 'dropped') this.#homes[home].onAppendFailed();
    if (fate === 'delayed') {
      this.log.delay(values);
      this.#homes[home].onAppendFailed();
    }
    if (fate === 'answerLost') {
      this.log.append(values);
      this.#homes[home].onAppendFailed();
    }
    if (fate === 'ok' || fate === 'doubled') {
      const first = this.log.append(values);
      if (fate === 'doubled') this.log.delay(values);
      this.#homes[home].onAppended(first);
    }
  }

  #read(home: number, fromOffset: number, fate: LogFate): void {
    if (fate === 'ok' || fate === 'doubled') this.#homes[home].onRead(this.log.read(fromOffset, 5));
    else this.#homes[home].onReadFailed();
  }

  #takeAnswers(home: number): void {
    this.#homes[home].takeAnswers().forEach(({ attempt: id, verdict }) => {
      const attempt = this.attempts.get(id);
      if (attempt?.state !== 'claimed') return;
      this.verdicts.push(verdict.type);
      attempt.state = verdict.type === 'granted' ? 'granted' : 'abandoned';
      if (verdict.type !== 'granted') this.notRunIds.add(id);
    });
  }

  #recordEffect(id: string, key: string): void {
    const count = (this.effects.get(key) ?? 0) + 1;
    this.effects.set(key, count);
    if (count > 1) this.violations.push(`key ${key} took effect ${count} times`);
    if (this.notRunIds.has(id)) this.violations.push(`${id} ran after a report that it had not`);
  }
}
