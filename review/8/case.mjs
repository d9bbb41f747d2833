/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-restricted-syntax: off, no-param-reassign: off, n/no-sync: off, n/no-process-exit: off, no-bitwise: off, no-plusplus: off, no-continue: off, max-classes-per-file: off */
// Servers answer streams without a length, which end with their channel. For some seconds one of them resets some of its
// channels midway.
import { configOf, EXIT, Harness, isTroubled } from '../stand-ins-2/harness.mjs';
import { SoundServer } from '../stand-ins-2/server.mjs';

const LENGTH_MS = 34_000;
const CLIENT_COUNT = 40;
const PAUSE_MS = 300;
const EVENT_COUNT = 49;
const EVENT_GAP_MS = 10;
/** One server of seven fails this share of its requests, for this time: the dose of `srv_grey` in the site file. */
const SERVER_COUNT = 7;
const RESET_SHARE = 0.45;
const RESETS_FROM_MS = [4_000, 14_000, 24_000];
const RESETS_FOR_MS = 6_500;

const harness = new Harness(new URL('./record.txt', import.meta.url));
const eventOf = (id, number) => `id: ${number}\ndata: ${id} ${number}\n\n`;
const eventsOf = (id) =>
  Array.from({ length: EVENT_COUNT }, (_, index) => eventOf(id, index + 1)).join('');

let resetCount = 0;
const isFailing = () =>
  RESETS_FROM_MS.some((fromMs) => harness.nowMs > fromMs && harness.nowMs < fromMs + RESETS_FOR_MS);
const answer =
  (mayReset) =>
  (request, response, { id, server }) => {
    const { socket } = response;
    const head = [
      'HTTP/1.1 200 OK',
      `X-Chervilseam-Request-Id: ${id}`,
      `X-Chervilseam-Server-Stamp: stamp-${server}`,
      'Content-Type: text/event-stream',
      'Connection: close',
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\n`);
    const resetsAfter =
      mayReset && isFailing() && Math.random() < RESET_SHARE
        ? 1 + Math.floor(Math.random() * (EVENT_COUNT - 1))
        : undefined;
    let number = Number(request.headers['last-event-id'] ?? 0);
    const next = () => {
      if (socket.destroyed) return;
      number += 1;
      socket.write(eventOf(id, number));
      if (number === resetsAfter) {
        resetCount += 1;
        harness.note(`server ${server} resets the channel of ${id} after event ${number}`);
        socket.resetAndDestroy();
        return;
      }
      if (number >= EVENT_COUNT) socket.end();
      else setTimeout(next, EVENT_GAP_MS);
    };
    next();
    return true;
  };

const route = {
  Kind: 'stream',
  GapGoalMs: 300,
  TimeoutMs: 12_000,
  GoalMs: 300,
  Service: 'assistant',
};
const config = configOf(
  3,
  [
    { ...route, Name: 'quote-draft', PathPrefix: '/quote/' },
    { ...route, Name: 'fit-guide', PathPrefix: '/fit/', Resumable: true },
  ],
  [{ Name: 'assistant', MaxConns: 360 }],
);
const servers = Array.from(
  { length: SERVER_COUNT },
  (_, index) =>
    new SoundServer(`e-${index + 1}`, {
      service: 'assistant',
      slots: 64,
      onRun: answer(isTroubled && index === 0),
    }),
);
await harness.start({ config, servers });
const [instance] = harness.instances;
await Promise.all(
  Array.from({ length: CLIENT_COUNT }, (_, index) =>
    harness.client(
      instance,
      { path: index % 2 === 0 ? '/quote/1' : '/fit/1', deadlineMs: 12_000 },
      { untilMs: LENGTH_MS, pauseMs: PAUSE_MS },
    ),
  ),
);

// MIXED, ORDER: a success that ends as complete and is not the whole answer.
const wrong = harness.results.filter(
  ({ id, status, isComplete, body }) => status === 200 && isComplete && body !== eventsOf(id),
);
wrong.forEach(({ id, path, body }) =>
  harness.note(
    `truncated ${id} ${path}: ended as complete after event ${/id: (\d+)\n[^]*$/.exec(body.split('\n\n').at(-2) ?? '')?.[1]} of ${EVENT_COUNT}, runs ${harness.arrivals.get(id).length}`,
  ),
);
const text = `requests ${harness.results.length}, channels reset by the faulty server ${resetCount}, answers that ended as complete and were truncated ${wrong.length}`;
harness.end(wrong.length > 0 ? EXIT.broken : EXIT.held, text);
