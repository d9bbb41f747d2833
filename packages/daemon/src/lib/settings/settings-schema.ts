import { z } from 'zod';

const ms = (defaultMs: number, text: string) =>
  z.int().positive().default(defaultMs).describe(text);
const count = (value: number, text: string) => z.int().positive().default(value).describe(text);
const port = (text: string) => z.int().min(0).max(65_535).describe(text);
const name = (text: string) =>
  z
    .string()
    .regex(/^[a-z0-9][a-z0-9._-]{0,63}$/, 'must be lower-case letters, digits, dots or dashes')
    .describe(text);

/** The settings of a daemon, section by section; descriptions and defaults make the reference. */
export const settingsSchema = z.strictObject({
  instance: z.strictObject({
    name: name('Name of the instance, unique among all of them.'),
    failureDomain: name('Failure domain that the instance stands in.'),
    region: name('Region of the failure domain.').default('local'),
    size: z.number().positive().default(1).describe('Relative size of the machine.'),
  }),
  listen: z.strictObject({
    host: z.ipv4().or(z.ipv6()).describe('IP number of all listeners.'),
    callerPort: port('Port for callers (HTTP).'),
    operatorPort: port('Port for operators (HTTP): metrics, health, decisions.'),
    peerPort: port('Port for other instances (TCP streams and UDP heartbeats).'),
  }),
  platform: z.strictObject({
    logUrl: z.url().describe('Where the log service listens.'),
    instanceListUrl: z.url().describe('Where the list of instances is served.'),
    callTimeoutMs: ms(2_000, 'Limit of one call to the platform, in milliseconds.'),
    logRetentionMs: ms(3_600_000, 'How long the log keeps records, in milliseconds.'),
    configPollMs: ms(500, 'Time between two reads of the configuration stream, in milliseconds.'),
    listPollMs: ms(2_000, 'Time between two reads of the list of instances, in milliseconds.'),
  }),
  secrets: z.strictObject({
    peerKeyFile: z.string().optional().describe('File with the key that all instances share.'),
    peerKeyEnv: z.string().optional().describe('Environment variable with that key.'),
    operatorKeyFile: z.string().optional().describe('File with the key of operators.'),
    operatorKeyEnv: z.string().optional().describe('Environment variable with that key.'),
  }),
  limits: z
    .strictObject({
      bodyBytesMax: count(4 * 1024 * 1024, 'Largest body of a model request, in bytes.'),
      headerBytesMax: count(16 * 1024, 'Largest head of a request, in bytes.'),
      headerCountMax: count(100, 'Most header lines of a request.'),
      connectionCountMax: count(10_000, 'Most connections of callers.'),
      headerTimeoutMs: ms(10_000, 'Longest wait for the head of a request, in milliseconds.'),
      bodyTimeoutMs: ms(60_000, 'Longest wait for the whole of a request, in milliseconds.'),
      answerTimeoutMs: ms(120_000, 'Longest wait for the head of an answer, in milliseconds.'),
      keyMemoryMs: ms(3_600_000, 'How long an Idempotency-Key is remembered, in milliseconds.'),
      fallbackConcurrency: count(2, 'Requests at an endpoint whose owner cannot be reached.'),
    })
    .prefault({}),
  membership: z
    .strictObject({
      periodMs: ms(500, 'Time between two heartbeats, in milliseconds.'),
      pingTimeoutMs: ms(200, 'Wait for an answer before others are asked, in milliseconds.'),
      suspicionMs: ms(4_000, 'Least time from suspicion to death, in milliseconds.'),
    })
    .prefault({}),
  placement: z
    .strictObject({
      longestOrderDelayMs: ms(60_000, 'Longest time that an order may be under way.'),
      loadsPerSecond: z
        .number()
        .positive()
        .default(1)
        .describe('Model loads a second, the share of this failure domain.'),
      adapterLoadsMax: count(8, 'Adapter loads under way at once, the share of this domain.'),
      movesAtOnceMax: count(3, 'Model loads under way at once, the share of this domain.'),
    })
    .prefault({}),
  shutdown: z
    .strictObject({
      noticeMs: z
        .int()
        .nonnegative()
        .default(3_000)
        .describe('Serving goes on this long after SIGTERM, in milliseconds.'),
      drainTimeoutMs: ms(600_000, 'Longest wait for requests in progress, in milliseconds.'),
    })
    .prefault({}),
  observe: z
    .strictObject({
      logLevel: z
        .enum(['trace', 'debug', 'info', 'warn', 'error'])
        .default('info')
        .describe('Least level of log records.'),
      traceShare: z
        .number()
        .min(0)
        .max(1)
        .default(0.01)
        .describe('Share of requests traced when the caller sends no traceparent.'),
    })
    .prefault({}),
});
