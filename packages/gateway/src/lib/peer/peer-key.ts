import type { PeerAddress } from './peer-address.js';

/** @returns an instance's address as `host:port`, which identifies the instance to its peers */
export const peerKey = ({ host, port }: PeerAddress): string => `${host}:${port}`;
