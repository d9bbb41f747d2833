/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-restricted-syntax: off, no-param-reassign: off, n/no-sync: off, n/no-process-exit: off, no-bitwise: off, no-plusplus: off, no-continue: off, max-classes-per-file: off */
// One of three servers answers with bodies that never end, in small chunks. Nothing else is disturbed.
import { configOf, EXIT, Harness, isTroubled } from '../stand-ins-2/harness.mjs';
import { SoundServer } from '../stand-ins-2/server.mjs';

const LENGTH_MS = 25_000;
const TIMEOUT_MS = 4_000;
/** Chunks that a body sends as fast as they are taken; later ones come one at a time. */
const FAST_CHUNK_COUNT = 250_000;
const CHUNKS_PER_WRITE = 2_000;
const SLOW_CHUNK_MS = 100;
const CHUNK = '1\r\nx\r\n';
const MANY_CHUNKS = Buffer.from(CHUNK.repeat(CHUNKS_PER_WRITE));
/** LOST: "more than three times". */
const LOST_MAX = 3;

const harness = new Harness(new URL('./record.txt', import.meta.url));

// The answer's head is right; its body goes on until the caller closes the channel.
const answerWithoutEnd = (request, response, { id }) => {
  const { socket } = response;
  harness.note(`server s-1 begins a body without end for ${id}`);
  const head = [
    'HTTP/1.1 200 OK',
    `X-Chervilseam-Request-Id: ${id}`,
    'X-Chervilseam-Server-Stamp: stamp-s-1',
    'Transfer-Encoding: chunked',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n`);
  let sentCount = 0;
  const next = () => {
    if (socket.destroyed) return;
    if (sentCount < FAST_CHUNK_COUNT) {
      sentCount += CHUNKS_PER_WRITE;
      socket.write(MANY_CHUNKS, next);
      return;
    }
    socket.write(CHUNK);
    setTimeout(next, SLOW_CHUNK_MS);
  };
  next();
  return true;
};

const route = { TimeoutMs: TIMEOUT_MS, GoalMs: 386 };
const config = configOf(
  3,
  [
    { ...route, Name: 'order-post', PathPrefix: '/order/', Kind: 'unsafe', Service: 'order-desk' },
    { ...route, Name: 'stock-look', PathPrefix: '/stock/', Kind: 'safe', Service: 'stock' },
  ],
  [{ Name: 'order-desk' }, { Name: 'stock' }],
);
const servers = [
  new SoundServer('s-1', {
    service: 'order-desk',
    onRun: isTroubled ? answerWithoutEnd : undefined,
  }),
  new SoundServer('s-2', { service: 'order-desk' }),
  new SoundServer('s-3', { service: 'order-desk' }),
  ...['t-1', 't-2', 't-3'].map((id) => new SoundServer(id, { service: 'stock', workMs: 1_500 })),
];
await harness.start({ config, servers });
const [instance] = harness.instances;
const times = (pauseMs) => ({ untilMs: LENGTH_MS, pauseMs });
await Promise.all([
  ...Array.from({ length: 24 }, () => harness.client(instance, { path: '/order/1' }, times(1_000))),
  ...Array.from({ length: 12 }, () => harness.client(instance, { path: '/stock/1' }, times(150))),
]);

// LOST: passed on from a kept channel to a sound server, and the channel was closed without an answer.
const { arrivals } = harness;
const faulty = isTroubled ? ['s-1'] : [];
const lost = harness.results.filter(({ id, status, isComplete, isKept }) => {
  const at = (arrivals.get(id) ?? []).map(({ server }) => server);
  const wasAtSoundServer = at.length > 0 && at.every((server) => !faulty.includes(server));
  return isKept && !isComplete && status === 0 && wasAtSoundServer;
});
lost.forEach(({ id, path }) => harness.note(`lost ${id} ${path}: ${arrivals.get(id)[0].server}`));
const ends = instance.exits.map(({ code, signal }) => signal ?? code).join(', ');
const text = `requests ${harness.results.length}, LOST ${lost.length} (at most ${LOST_MAX}), ends of the process by itself: ${instance.exits.length} (${ends})`;
harness.end(lost.length > LOST_MAX ? EXIT.broken : EXIT.held, text);
