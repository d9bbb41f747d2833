/** A `UnitsAsk` on the wire: asked, held, waiting, needed, stock, largest. */
export type WireAsk = readonly [number, number, number, number, number, number];
