import { connect } from 'node:net';
import { CONNECTION_REFUSED } from './connection-refused.js';
import { ProcessState } from './process-state.js';

/** Longest time that the connection attempt may take, in milliseconds. */
const TIMEOUT_MS = 250;

/**
 * Finds out whether an endpoint's process runs, by a connection that carries no request: it works for every
 * kind of endpoint and takes none of its slots.
 *
 * @param address - where the endpoint listens
 * @returns the state of the process; never rejects
 */
export const probeProcess = ({
  host,
  port,
}: {
  readonly host: string;
  readonly port: number;
}): Promise<ProcessState> =>
  new Promise((resolve) => {
    const socket = connect({ host, port });
    const settle = (state: ProcessState): void => {
      socket.destroy();
      resolve(state);
    };
    socket.setTimeout(TIMEOUT_MS, () => settle(ProcessState.unknown));
    socket.once('connect', () => settle(ProcessState.running));
    socket.on('error', ({ code }: NodeJS.ErrnoException) =>
      settle(code === CONNECTION_REFUSED ? ProcessState.ended : ProcessState.unknown),
    );
  });
