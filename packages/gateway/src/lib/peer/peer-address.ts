/** Address on which an instance accepts calls of other instances. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}
