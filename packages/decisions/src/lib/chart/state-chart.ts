import verror from 'verror';

interface ChartState {
  readonly type?: 'final';
  readonly on?: Readonly<Record<string, string>>;
}

/** Content of a chart file: a state machine without nested states, in XState's JSON format. */
interface ChartDefinition {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartState>>;
}

/**
 * Interprets a state chart. A transition costs two property reads, cheap enough to be done for each
 * request.
 */
export class StateChart {
  readonly initial: string;
  readonly #id: string;
  readonly #states: ChartDefinition['states'];

  /**
   * @param definition - content of the chart's file
   * @throws VError named `ChartError` when the initial state or the target of a transition is
   *   missing
   */
  constructor(definition: ChartDefinition) {
    this.#id = definition.id;
    this.#states = definition.states;
    this.initial = definition.initial;
    const targets = Object.values(definition.states).flatMap(({ on }) => Object.values(on ?? {}));
    [definition.initial, ...targets].forEach((target) => {
      if (Object.hasOwn(definition.states, target)) return;
      throw new verror.VError({ name: 'ChartError' }, 'chart %s has no state %s', this.#id, target);
    });
  }

  /**
   * Checks whether a state has a transition for an event.
   *
   * @param state - the state
   * @param event - the event
   */
  can(state: string, event: string): boolean {
    return this.#states[state]?.on?.[event] !== undefined;
  }

  /**
   * Returns the target of a transition.
   *
   * @param state - the current state
   * @param event - the event
   * @returns the next state
   * @throws VError named `ChartError` when the chart has no such transition
   */
  next(state: string, event: string): string {
    const target = this.#states[state]?.on?.[event];
    if (target !== undefined) return target;
    const source = `${this.#id}.${state}`;
    throw new verror.VError({ name: 'ChartError' }, 'no transition %s from %s', event, source);
  }

  /**
   * Checks whether a state is final.
   *
   * @param state - the state
   */
  isFinal(state: string): boolean {
    return this.#states[state]?.type === 'final';
  }
}
