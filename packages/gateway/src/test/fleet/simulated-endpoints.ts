import type { Random } from '@chervilseam/decisions';
import type { EndpointRecord } from '@chervilseam/model';
import { endpointRecordOf } from '../endpoint-record-of.js';
import type { SimulatedFleet } from './simulated-fleet.js';

const ENDPOINT_COUNT = 60;
const HEARTBEAT_MS = 1_200;
/** Mean time between two endpoints that leave, in milliseconds. */
const LEAVING_INTERVAL_MS = 650;
/** Time from the announcement of an endpoint to the removal of its entry, in milliseconds. */
const DRAINING_MS = 4_000;
/** Share of the endpoints that do not announce that they leave. */
const SILENT_SHARE = 0.3;

/** Endpoints that write heartbeats and leave one after another, each replaced by a new one. */
export class SimulatedEndpoints {
  readonly #fleet: SimulatedFleet;
  readonly #random: Random;
  #count = 0;

  /**
   * @param fleet - whose list the endpoints write to
   * @param random - decides when which of them leaves
   */
  constructor(fleet: SimulatedFleet, random: Random) {
    this.#fleet = fleet;
    this.#random = random;
  }

  /** @param untilMs - time from which no endpoint leaves any more, in milliseconds */
  start(untilMs: number): void {
    Array.from({ length: ENDPOINT_COUNT }).forEach(() => this.#join());
    this.#leaveLater(untilMs);
  }

  #join(): void {
    this.#count += 1;
    const record = endpointRecordOf(`i-${this.#count}`);
    this.#fleet.list.put(record);
    this.#fleet.time.after(HEARTBEAT_MS * this.#random.unit(), () => this.#beat(record.id));
  }

  #beat(id: string): void {
    const record = this.#fleet.list.written.get(id);
    if (!record) return;
    this.#fleet.list.put(record);
    this.#fleet.time.after(HEARTBEAT_MS, () => this.#beat(id));
  }

  #leaveLater(untilMs: number): void {
    const { list, time } = this.#fleet;
    time.after(this.#random.exponential(LEAVING_INTERVAL_MS), () => {
      if (time.nowMs >= untilMs) return;
      const staying = [...list.written.values()].filter(({ isDraining }) => !isDraining);
      const record = this.#random.pick(staying);
      if (record) this.#leave(record);
      this.#leaveLater(untilMs);
    });
  }

  // Some endpoints never announce that they leave.
  #leave(record: EndpointRecord): void {
    const { list, time } = this.#fleet;
    this.#join();
    if (this.#random.unit() < SILENT_SHARE) {
      list.remove(record.id);
      return;
    }
    list.put({ ...record, isDraining: true });
    time.after(DRAINING_MS, () => list.remove(record.id));
  }
}
