/** Dependencies of a computation in slices. */
interface SliceContext {
  readonly nowMs: () => number;
  /** Longest time of a slice, apart from its last step, in milliseconds. */
  readonly sliceMs: number;
}

/** Result of a computation in slices. */
interface SlicedResult<T> {
  readonly value: T;
  /** Time of all slices together, in milliseconds. */
  readonly busyMs: number;
}

/**
 * Runs a computation in slices, each in a turn of the event loop of its own, so that it does not hold up
 * what the process reads and writes meanwhile.
 *
 * @param steps - the computation; its last value is the result
 * @param context - length of a slice, and the clock that it is measured with
 * @returns the result, and the time that it took
 */
export async function runInSlices<T>(
  steps: Generator<void, T, void>,
  { nowMs, sliceMs }: SliceContext,
): Promise<SlicedResult<T>> {
  let busyMs = 0;
  for (;;) {
    const startMs = nowMs();
    let step = steps.next();
    while (!step.done && nowMs() < startMs + sliceMs) step = steps.next();
    busyMs += nowMs() - startMs;
    if (step.done) return { value: step.value, busyMs };
    // eslint-disable-next-line no-await-in-loop
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
