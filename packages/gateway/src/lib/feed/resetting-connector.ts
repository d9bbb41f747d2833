import type { Socket } from 'node:net';
import { buildConnector } from 'undici';

// Resets the connection instead of closing it gracefully. After a graceful close the kernel keeps retransmitting
// what it has buffered, so that a request could still arrive once a network partition heals.
const resetOnAbort = (socket: Socket): void => {
  const destroy = socket.destroy.bind(socket);
  let isAborted = false;
  Object.assign(socket, {
    destroy(error?: Error): Socket {
      // Without an error the connection has ended, or is idle and not needed any more; an error of the system has
      // ended it already.
      const isEnded = error === undefined || 'syscall' in error;
      if (isEnded || isAborted || socket.connecting) return destroy(error);
      isAborted = true;
      // Part of the request is still buffered in this process, so the endpoint can't receive all of it.
      if (socket.writableLength > 0) return destroy(error);
      // Calls this function again, without an error.
      return socket.resetAndDestroy();
    },
  });
};

/**
 * Creates the connector of an HTTP client that resets a connection when a request on it is aborted, so that the
 * request can't arrive later. The client never reuses such a connection anyway.
 *
 * @param timeoutMs - longest time until a connection is open, in milliseconds
 * @param onConnected - called with each new connection
 * @returns the connector, for the option `connect` of the client
 */
export const resettingConnector = (
  timeoutMs: number,
  onConnected: (socket: Socket) => void = () => {},
): buildConnector.connector => {
  const connector = buildConnector({ timeout: timeoutMs });
  return (options, callback) =>
    connector(options, (...result) => {
      const [, socket] = result;
      if (socket) {
        resetOnAbort(socket);
        onConnected(socket);
      }
      callback(...result);
    });
};
