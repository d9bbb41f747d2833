/* eslint-disable */
// A model engine as a process of its own, so that it can be killed. It tells on its output what it does.
import { Engine } from './engine.mjs';

const { id, service, models, host, port, eventCount, eventMs, unframedEvery } = JSON.parse(
  process.argv[2],
);
const tell = (value) => process.stdout.write(`${JSON.stringify(value)}\n`);

const engine = new Engine(id, service, models, {});
engine.eventCount = eventCount;
engine.eventMs = eventMs;
let count = 0;
engine.isUnframed = () => {
  count += 1;
  return unframedEvery > 0 && count % unframedEvery === 0;
};
engine.onEvent = (event) => tell({ event });
await engine.start(host, port);
tell({ entry: engine.entry() });
