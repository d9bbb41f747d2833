/** Code of the error of a connection attempt to a port where no process listens. */
export const CONNECTION_REFUSED = 'ECONNREFUSED';
