/** A `QuotaReport` on the wire: rate, room, demand, largest. */
export type WireReport = readonly [number, number, number, number];
