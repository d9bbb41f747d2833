import type { Rumor } from './rumor.js';

/** A heartbeat datagram. */
export type MembershipMessage =
  | {
      readonly type: 'ping';
      readonly from: string;
      readonly sequence: number;
      readonly rumors: readonly Rumor[];
    }
  | {
      readonly type: 'ack';
      /** Name of the member that was pinged, also when another member forwards its ack. */
      readonly from: string;
      readonly sequence: number;
      readonly rumors: readonly Rumor[];
      /** Keys of the ping's rumors that the sender of this ack knew already. */
      readonly known: readonly string[];
    }
  | {
      readonly type: 'pingRequest';
      readonly from: string;
      readonly sequence: number;
      /** Name of the member to ping on the sender's behalf. */
      readonly target: string;
    };
