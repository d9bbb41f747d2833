import { isIP } from 'node:net';
import type { PeerAddress } from './peer-address.js';

const PORT_MAX = 65_535;

/**
 * @param address - an address that another instance or the store named
 * @returns whether a connection to it can be tried
 */
export const isPeerAddress = ({ host, port }: PeerAddress): boolean =>
  isIP(host) !== 0 && Number.isInteger(port) && port >= 1 && port <= PORT_MAX;
