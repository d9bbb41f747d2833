import verror from 'verror';

interface ChartState {
  readonly type?: 'final';
  readonly on?: Readonly<Record<string, string>>;
}

/** A flat state chart as its file holds it, in the JSON format of XState machines. */
interface ChartDefinition {
  readonly id: string;
  readonly initial: string;
  readonly states: Readonly<Record<string, ChartState>>;
}

/**
 * Interprets a state chart that stands in a file. A step is two property reads, so that a chart can
 * be followed for each request.
 */
export class StateChart {
  readonly initial: string;
  readonly #id: string;
  readonly #states: ChartDefinition['states'];

  /**
   * @param definition - the chart
   * @throws VError named `ChartError` when a transition leads nowhere
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
   * Tells whether an event means anything in a state.
   *
   * @param state - the state
   * @param event - the event
   */
  can(state: string, event: string): boolean {
    return this.#states[state]?.on?.[event] !== undefined;
  }

  /**
   * Follows an event.
   *
   * @param state - the state before
   * @param event - the event
   * @returns the state after
   * @throws VError named `ChartError` when the chart has no such transition
   */
  next(state: string, event: string): string {
    const target = this.#states[state]?.on?.[event];
    if (target !== undefined) return target;
    const place = `${this.#id}.${state}`;
    throw new verror.VError({ name: 'ChartError' }, 'no transition %s from %s', event, place);
  }

  /**
   * Tells whether nothing can follow a state.
   *
   * @param state - the state
   */
  isFinal(state: string): boolean {
    return this.#states[state]?.type === 'final';
  }
}
