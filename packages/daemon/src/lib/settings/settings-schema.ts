import { z } from 'zod';

/** Schema of a time in milliseconds. */
const ms = (defaultMs: number, text: string) =>
  z.int().positive().default(defaultMs).describe(text);
/** Schema of a positive whole number, such as of bytes or items. */
const count = (value: number, text: string) => z.int().positive().default(value).describe(text);
/** Schema of a port; 0 lets the operating system choose one. */
const port = (text: string) => z.int().min(0).max(65_535).describe(text);
const name = (text: string) =>
  z
    .string()
    .regex(/^[a-z0-9][a-z0-9._-]{0,63}$/, 'must be lower-case letters, digits, dots or dashes')
    .describe(text);

/**
 * The settings of a daemon, by section. The descriptions and defaults are printed into the reference.
 */
export const settingsSchema = z.strictObject({
  instance: z.strictObject({
    name: name('Name of the instance, unique among all instances.'),
    failureDomain: name('Failure domain of the instance.'),
    region: name('Region of the failure domain.').default('local'),
    size: z
      .number()
      .positive()
      .default(1)
      .describe('Size of the machine relative to others: a larger one owns more endpoints.'),
  }),
  listen: z.strictObject({
    host: z.ipv4().or(z.ipv6()).describe('IP address that all ports are bound to.'),
    callerPort: port('Port for callers (HTTP).'),
    operatorPort: port(
      'Port for operators (HTTP): metrics, health checks, status and debug pages.',
    ),
    peerPort: port('Port for other instances (TCP streams and UDP heartbeats).'),
  }),
  platform: z.strictObject({
    logUrl: z.url().describe('URL of the log service.'),
    instanceListUrl: z.url().describe('URL of the list of instances.'),
    callTimeoutMs: ms(2_000, 'Timeout of a call to the log service or the list, in milliseconds.'),
    logRetentionMs: ms(3_600_000, 'Time that the log service keeps records, in milliseconds.'),
    configPollMs: ms(500, 'Interval of reads of the configuration stream, in milliseconds.'),
    listPollMs: ms(2_000, 'Interval of reads of the list of instances, in milliseconds.'),
  }),
  secrets: z.strictObject({
    peerKeyFile: z
      .string()
      .optional()
      .describe('File with the key that all instances share (peer key).'),
    peerKeyEnv: z.string().optional().describe('Environment variable with the peer key.'),
    operatorKeyFile: z.string().optional().describe('File with the key of the operators.'),
    operatorKeyEnv: z
      .string()
      .optional()
      .describe('Environment variable with the key of the operators.'),
  }),
  limits: z
    .strictObject({
      bodyBytesMax: count(
        4 * 1024 * 1024,
        'Longest body of a model request, or one with an idempotency key, in bytes.',
      ),
      headerBytesMax: count(16 * 1024, 'Longest header section of a request, in bytes.'),
      headerCountMax: count(100, 'Maximum number of header lines of a request.'),
      connectionCountMax: count(10_000, 'Maximum number of connections of callers.'),
      headerTimeoutMs: ms(
        10_000,
        'Maximum time to receive the headers of a request, in milliseconds.',
      ),
      bodyTimeoutMs: ms(60_000, 'Maximum time to receive a whole request, in milliseconds.'),
      answerTimeoutMs: ms(
        120_000,
        'Maximum wait for the head of an answer of an endpoint, in milliseconds.',
      ),
      keyMemoryMs: ms(3_600_000, 'Time that an Idempotency-Key is remembered, in milliseconds.'),
      fallbackConcurrency: count(
        2,
        'Concurrent requests from here to an endpoint whose owner cannot be reached.',
      ),
    })
    .prefault({}),
  membership: z
    .strictObject({
      periodMs: ms(500, 'Interval of heartbeats, in milliseconds.'),
      pingTimeoutMs: ms(
        200,
        'Wait for an ack before other members ping the target, in milliseconds.',
      ),
      suspicionMs: ms(4_000, 'Minimum time from state suspect to dead, in milliseconds.'),
    })
    .prefault({}),
  placement: z
    .strictObject({
      longestOrderDelayMs: ms(
        60_000,
        'Maximum time that an order may be in transit to an engine, in milliseconds.',
      ),
      loadsPerSecond: z
        .number()
        .positive()
        .default(1)
        .describe('Maximum model loads per second: the share of this failure domain.'),
      adapterLoadsMax: count(
        8,
        'Maximum concurrent adapter loads: the share of this failure domain.',
      ),
      movesAtOnceMax: count(3, 'Maximum concurrent model loads: the share of this failure domain.'),
    })
    .prefault({}),
  shutdown: z
    .strictObject({
      noticeMs: z
        .int()
        .nonnegative()
        .default(3_000)
        .describe('Time after SIGTERM in which new requests are still served, in milliseconds.'),
      drainTimeoutMs: ms(
        600_000,
        'Maximum wait for requests in progress at a shutdown, in milliseconds.',
      ),
    })
    .prefault({}),
  observe: z
    .strictObject({
      logLevel: z
        .enum(['trace', 'debug', 'info', 'warn', 'error'])
        .default('info')
        .describe('Minimum level of log records.'),
      traceShare: z
        .number()
        .min(0)
        .max(1)
        .default(0.01)
        .describe('Fraction of requests to trace if the caller sends no traceparent.'),
    })
    .prefault({}),
});
