/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-restricted-syntax: off, no-param-reassign: off, n/no-sync: off, n/no-process-exit: off, no-bitwise: off, no-plusplus: off, no-continue: off, max-classes-per-file: off */
// One of three servers answers streams with an event that never ends, in small chunks. Nothing else is disturbed.
import { configOf, EXIT, Harness, isTroubled } from '../stand-ins-2/harness.mjs';
import { SoundServer } from '../stand-ins-2/server.mjs';

const LENGTH_MS = 40_000;
const TIMEOUT_MS = 4_000;
/** CONFIG: "eight or more of them, and over a quarter, have no final answer ... 0.5 s after it". */
const LATE_MS = 500;
const LATE_COUNT_MIN = 8;
const LATE_SHARE = 0.25;
const CHUNKS_PER_WRITE = 2_000;
const MANY_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(CHUNKS_PER_WRITE));
const EVENT_COUNT = 49;
const EVENT_GAP_MS = 25;

const harness = new Harness(new URL('./record.txt', import.meta.url));

// The answer's head is right; its first event goes on until the caller closes the channel.
const answerWithoutEnd = (request, response, { id }) => {
  const { socket } = response;
  harness.note(`server e-1 begins an event without end for ${id}`);
  const head = [
    'HTTP/1.1 200 OK',
    `X-Chervilseam-Request-Id: ${id}`,
    'X-Chervilseam-Server-Stamp: stamp-e-1',
    'Content-Type: text/event-stream',
    'Transfer-Encoding: chunked',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  const next = () => {
    if (!socket.destroyed) socket.write(MANY_CHUNKS, next);
  };
  next();
  return true;
};

const answerWithEvents = (request, response, { id, server }) => {
  response.writeHead(200, {
    'X-Chervilseam-Request-Id': id,
    'X-Chervilseam-Server-Stamp': `stamp-${server}`,
    'Content-Type': 'text/event-stream',
  });
  let number = Number(request.headers['last-event-id'] ?? 0);
  const next = () => {
    if (response.destroyed) return;
    number += 1;
    response.write(`id: ${number}\ndata: token ${number}\n\n`);
    if (number >= EVENT_COUNT) response.end();
    else setTimeout(next, EVENT_GAP_MS);
  };
  next();
  return true;
};

const config = configOf(
  3,
  [
    {
      Name: 'fit-guide',
      PathPrefix: '/fit/',
      Kind: 'stream',
      Resumable: true,
      GapGoalMs: 300,
      TimeoutMs: 12_000,
      GoalMs: 300,
      Service: 'assistant',
    },
    {
      Name: 'stock-look',
      PathPrefix: '/stock/',
      Kind: 'safe',
      TimeoutMs: TIMEOUT_MS,
      GoalMs: 386,
      Service: 'order-desk',
    },
  ],
  [{ Name: 'assistant', MaxConns: 360 }, { Name: 'order-desk' }],
);
const servers = [
  ...['e-1', 'e-2', 'e-3'].map(
    (id) =>
      new SoundServer(id, {
        service: 'assistant',
        slots: 64,
        onRun: isTroubled && id === 'e-1' ? answerWithoutEnd : answerWithEvents,
      }),
  ),
  ...['s-1', 's-2', 's-3'].map((id) => new SoundServer(id, { service: 'order-desk', workMs: 86 })),
];
await harness.start({ config, servers });
const [instance] = harness.instances;
const times = (pauseMs) => ({ untilMs: LENGTH_MS, pauseMs });
await Promise.all([
  ...Array.from({ length: 48 }, () =>
    harness.client(instance, { path: '/fit/1', deadlineMs: 12_000 }, times(800)),
  ),
  ...Array.from({ length: 24 }, () =>
    harness.client(instance, { path: '/stock/1', deadlineMs: 8_000 }, times(1_000)),
  ),
]);

// CONFIG, on the route whose servers are all sound.
const looks = harness.results.filter(({ path }) => path.startsWith('/stock/'));
const afterMs = ({ sentMs, endedMs }) => endedMs - sentMs;
const lasting = looks.filter((result) => afterMs(result) > TIMEOUT_MS);
const late = lasting.filter((result) => afterMs(result) > TIMEOUT_MS + LATE_MS);
late.forEach((result) =>
  harness.note(`late ${result.id}: ${Math.round(afterMs(result))} ms, status ${result.status}`),
);
const longest = Math.round(Math.max(...looks.map(afterMs)));
const isBroken = late.length >= LATE_COUNT_MIN && late.length > LATE_SHARE * lasting.length;
const text = `requests ${harness.results.length}, of the sound service ${looks.length}, the longest ${longest} ms; ${lasting.length} lasted longer than TimeoutMs (${TIMEOUT_MS} ms), ${late.length} of them had no final answer ${LATE_MS} ms after it`;
harness.end(isBroken ? EXIT.broken : EXIT.held, text);
