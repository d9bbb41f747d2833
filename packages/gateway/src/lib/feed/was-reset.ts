import type { Socket } from 'node:net';

const NO_BYTES = Buffer.alloc(0);

/**
 * Finds out whether a connection whose end was just read has been reset. libuv reports a reset that it polls together
 * with the bytes before it as a normal end and leaves the error at the socket, where the next write finds it. A write of
 * no bytes sends nothing.
 *
 * @param socket - the connection, in its first listener of `end`
 * @returns whether it has been reset, or may have been
 */
export const wasReset = (socket: Socket): boolean => {
  // A write would wait behind the part of the request that the other side has not taken, and show nothing now.
  if (socket.writableLength > 0) return true;
  socket.write(NO_BYTES);
  const error: NodeJS.ErrnoException | null = socket.errored;
  return error?.code === 'ECONNRESET';
};
