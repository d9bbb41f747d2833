/** A `UnitsAnswer` on the wire: units, and the wait in milliseconds. */
export type WireAnswer = readonly [number, number];
