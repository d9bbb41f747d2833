import { z } from 'zod';

const LABEL_COUNT_MAX = 64;
const NAME_PATTERN = /^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$/;

const name = z
  .string()
  .regex(NAME_PATTERN, 'must be 1 to 64 lower-case letters, digits, dots, dashes or underscores');
const labels = z
  .record(z.string().max(64), z.string().max(64))
  .refine((value) => Object.keys(value).length <= LABEL_COUNT_MAX, 'has too many labels')
  .default({});
const labelList = z.array(z.string()).default([]);
const selector = z.strictObject({
  equal: z.record(z.string(), z.string()).default({}),
  anyOf: z.record(z.string(), z.array(z.string()).min(1)).default({}),
  noneOf: z.record(z.string(), z.array(z.string()).min(1)).default({}),
  exists: labelList,
  absent: labelList,
});
const bytes = z.int().nonnegative();

/** The schema of each kind of configuration object. */
export const configSchemas = {
  model: z.strictObject({
    name,
    labels,
    version: z.string().default('1'),
    weightsBytes: bytes,
    /** Memory reserved for the KV cache of each replica, in addition to the weights. */
    kvReserveBytes: bytes.default(0),
  }),
  adapter: z.strictObject({ name, labels, model: name, weightsBytes: bytes }),
  service: z.strictObject({ name, labels }),
  endpoint: z.strictObject({
    name,
    labels,
    driver: z.enum(['engine', 'service']),
    service: name.optional(),
    url: z.url({ protocol: /^http$/, error: 'must be an http URL with an IP number' }),
    failureDomain: name,
    /** Accelerator memory of an engine. */
    memoryBytes: bytes.default(0),
    /** Maximum number of requests that the endpoint runs concurrently. */
    concurrencyMax: z.int().positive().default(16),
    /** Whether the engine refuses orders with an outdated fencing token. */
    checksFencing: z.boolean().default(false),
  }),
  caller: z.strictObject({
    name,
    labels,
    /** SHA-256 of the caller's API key. */
    keySha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 hexadecimal digits'),
    requestsPerSecond: z.number().positive().default(1000),
    /** Weight of the caller when requests of several callers are queued for an endpoint. */
    share: z.number().positive().default(1),
  }),
  policy: z.strictObject({
    name,
    labels,
    /** Selects the callers that the policy applies to; all by default. */
    callers: selector.optional(),
    /**
     * Selects the models that the policy applies to. A policy without `models` and `services` applies
     * to all of both; one with only `models` applies to no service, and one with only `services` to
     * no model.
     */
    models: selector.optional(),
    /** Selects the services that the policy applies to; see `models`. */
    services: selector.optional(),
    /** A higher value is served first. */
    priority: z.int().min(0).max(100).optional(),
    /** Time limit for the first token, or for an answer without tokens, in milliseconds. */
    deadlineMs: z.int().positive().optional(),
    /** Whether a request must not be retried after an attempt that may have run. */
    nonIdempotent: z.boolean().optional(),
    /** Whether at least one replica of the selected models must stay loaded. */
    resident: z.boolean().optional(),
  }),
};
