import type { PeerAddress } from './peer-address.js';

/**
 * @param key - an address as `host:port`
 * @returns the address
 */
export function parsePeerKey(key: string): PeerAddress {
  const [host, port] = key.split(':');
  return { host, port: Number(port) };
}
