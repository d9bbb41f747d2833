import type { IncomingHttpHeaders } from 'node:http';

/** Headers that concern one connection only, are read by this system, or contain credentials. */
const DROPPED_HEADERS = new Set([
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
 * Selects the headers that are forwarded to an endpoint.
 *
 * @param headers - headers of the caller's request
 * @returns the forwarded headers; several values of one name are joined by commas
 */
export function forwardedHeaders(headers: IncomingHttpHeaders): Record<string, string> {
  const forwarded: Record<string, string> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value === undefined || DROPPED_HEADERS.has(name)) return;
    forwarded[name] = Array.isArray(value) ? value.join(', ') : value;
  });
  return forwarded;
}
