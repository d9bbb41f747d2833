import { isIP } from 'node:net';

const PORT_MAX = 65_535;

/**
 * @param address - an address that another process or an operator named
 * @returns whether a connection to it can be tried
 */
export const isSocketAddress = ({
  host,
  port,
}: {
  readonly host: string;
  readonly port: number;
}): boolean => isIP(host) !== 0 && Number.isInteger(port) && port >= 1 && port <= PORT_MAX;
