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
    memoryBytes: bytes.default(0),
    concurrencyMax: z.int().positive().default(16),
    checksFencing: z.boolean().default(false),
  }),
  caller: z.strictObject({
    name,
    labels,
    keySha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 hexadecimal digits'),
    requestsPerSecond: z.number().positive().default(1000),
    share: z.number().positive().default(1),
  }),
  policy: z.strictObject({
    name,
    labels,
    callers: selector.optional(),
    models: selector.optional(),
    services: selector.optional(),
    priority: z.int().min(0).max(100).optional(),
    deadlineMs: z.int().positive().optional(),
    nonIdempotent: z.boolean().optional(),
    resident: z.boolean().optional(),
  }),
};
