/* eslint-disable */
// The link in front of a server: it can be cut, which holds back all bytes and ends in both directions, and heal.
import { connect, createServer } from 'node:net';

export class Link {
  #server;
  #target;
  #pairs = new Set();
  #isCut = false;

  constructor(target) {
    this.#target = target;
    this.#server = createServer({ allowHalfOpen: true }, (near) => this.#join(near));
  }

  async start(host) {
    await new Promise((done) => this.#server.listen(0, host, done));
    this.address = `${host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#pairs.forEach(({ near, far }) => [near, far].forEach((one) => one?.destroy()));
  }

  cut() {
    this.#isCut = true;
  }

  heal() {
    this.#isCut = false;
    this.#pairs.forEach((pair) => {
      if (!pair.far) this.#dial(pair);
      pair.held.splice(0).forEach((act) => act());
    });
  }

  #join(near) {
    const pair = { near, far: undefined, held: [], early: [] };
    this.#pairs.add(pair);
    this.#follow(pair, near, () => pair.far);
    if (!this.#isCut) this.#dial(pair);
  }

  #dial(pair) {
    const [host, port] = this.#target.split(':');
    pair.far = connect({ host, port: Number(port), allowHalfOpen: true });
    this.#follow(pair, pair.far, () => pair.near);
  }

  // Passes on what one side sends and how it ends; while the link is cut, that is held back.
  #follow(pair, from, to) {
    const pass = (act) => (this.#isCut ? pair.held.push(act) : act());
    from.on('data', (data) => pass(() => to()?.write(data)));
    from.on('end', () => pass(() => to()?.end()));
    from.on('error', () => pass(() => to()?.resetAndDestroy()));
    from.on('close', () => {
      if (pair.near.destroyed && (!pair.far || pair.far.destroyed)) this.#pairs.delete(pair);
    });
  }
}
