import type { IncomingHttpHeaders } from 'node:http';

/** Headers that belong to one hop, to the system, or to the caller's secrets. */
const DROPPED = new Set([
  'authorization',
  'connection',
  'content-length',
  'cookie',
  'expect',
  'host',
  'idempotency-key',
  'keep-alive',
  'proxy-authorization',
  'te',
  'trailer',
  'traceparent',
  'transfer-encoding',
  'upgrade',
  'chervilseam-deadline-ms',
]);

/**
 * Chooses the headers that go on to an endpoint.
 *
 * @param headers - the caller's headers
 * @returns those that concern the endpoint
 */
export function requestHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  const chosen: Record<string, string> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value === undefined || DROPPED.has(name)) return;
    chosen[name] = Array.isArray(value) ? value.join(', ') : value;
  });
  return chosen;
}
