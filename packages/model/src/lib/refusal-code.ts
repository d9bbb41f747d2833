/**
 * Stable codes of refused and failed requests, each with its HTTP status and what the caller can do
 * about it.
 */
export const refusalCodes = {
  bad_request: { status: 400, mend: 'correct the request' },
  unauthorized: { status: 401, mend: 'send a known API key' },
  model_not_found: { status: 404, mend: 'name a model that /v1/models lists' },
  service_not_found: { status: 404, mend: 'name a service of the configuration' },
  route_not_found: { status: 404, mend: 'use a path of the API' },
  body_too_large: { status: 413, mend: 'send a smaller body' },
  key_reused: { status: 422, mend: 'use a new Idempotency-Key for another body' },
  key_in_progress: { status: 409, mend: 'wait for the first request with this key' },
  key_unknown: { status: 409, mend: 'ask the service whether the first request took effect' },
  key_expired: { status: 409, mend: 'use a new key' },
  key_unordered: { status: 503, mend: 'use a key from POST /v1/keys, or try later' },
  rate_limited: { status: 429, mend: 'send fewer requests a second' },
  overloaded: { status: 503, mend: 'try again after Retry-After' },
  deadline: { status: 503, mend: 'allow more time, or try again later' },
  no_endpoint: { status: 503, mend: 'try again later' },
  not_ready: { status: 503, mend: 'try another instance' },
  shutting_down: { status: 503, mend: 'try another instance' },
  endpoint_refused: { status: 503, mend: 'try again later' },
  endpoint_failed: { status: 502, mend: 'ask whether the request took effect before repeating it' },
  endpoint_timeout: {
    status: 504,
    mend: 'ask whether the request took effect before repeating it',
  },
  peer_lost: { status: 502, mend: 'ask whether the request took effect before repeating it' },
  answer_cut: { status: 502, mend: 'repeat the request if it is idempotent' },
  cancelled: { status: 499, mend: 'keep the connection open until the answer is whole' },
  internal: { status: 500, mend: 'report the trace id to the operator' },
} as const;

/** One of the codes of {@link refusalCodes}. */
export type RefusalCode = keyof typeof refusalCodes;
