/** A `QuotaLease` on the wire: rate, room. */
export type WireLease = readonly [number, number];
