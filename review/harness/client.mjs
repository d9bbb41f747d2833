/* eslint-disable */
// A client with one kept channel: it sends a request at a time and reads the whole answer.
import { connect } from 'node:net';

const parseHead = (text) => {
  const [first, ...rows] = text.split('\r\n');
  const headers = Object.fromEntries(
    rows.map((row) => {
      const at = row.indexOf(':');
      return [row.slice(0, at).trim().toLowerCase(), row.slice(at + 1).trim()];
    }),
  );
  return { status: Number(first.split(' ')[1]), headers };
};

export class Channel {
  #socket;
  #buffer = Buffer.alloc(0);
  #wake = () => {};
  isClosed = false;

  static open(host, port) {
    return new Promise((done, fail) => {
      const one = new Channel();
      const socket = connect(port, host);
      socket.setNoDelay(true);
      one.#socket = socket;
      socket.once('connect', () => done(one));
      socket.once('error', fail);
      socket.on('error', () => {});
      socket.on('data', (data) => {
        one.#buffer = Buffer.concat([one.#buffer, data]);
        one.#wake();
      });
      socket.on('close', () => {
        one.isClosed = true;
        one.#wake();
      });
      socket.on('end', () => {
        one.isClosed = true;
        one.#wake();
      });
    });
  }

  destroy() {
    this.#socket.destroy();
  }

  async #more() {
    if (this.isClosed) return false;
    await new Promise((done) => {
      this.#wake = done;
    });
    return true;
  }

  async #until(find) {
    for (;;) {
      const found = find(this.#buffer);
      if (found >= 0) {
        const bytes = this.#buffer.subarray(0, found);
        this.#buffer = this.#buffer.subarray(found);
        return bytes;
      }
      if (!(await this.#more())) return undefined;
    }
  }

  // Returns the status, the headers, the body and whether the answer is complete; status 0 for none.
  async send({ method, path, headers, body = '' }) {
    const rows = Object.entries({ ...headers, 'Content-Length': Buffer.byteLength(body) });
    const head = rows.map(([name, value]) => `${name}: ${value}\r\n`).join('');
    const sentMs = performance.now();
    this.#socket.write(`${method} ${path} HTTP/1.1\r\n${head}\r\n${body}`);
    const bytes = await this.#until((all) => {
      const at = all.indexOf('\r\n\r\n');
      return at < 0 ? -1 : at + 4;
    });
    if (!bytes)
      return {
        status: 0,
        headers: {},
        body: '',
        isComplete: false,
        sentMs,
        endMs: performance.now(),
      };
    const answer = parseHead(bytes.toString('latin1').trimEnd());
    const parts = [];
    let isComplete = true;
    if (answer.headers['transfer-encoding']) {
      for (;;) {
        const line = await this.#until((all) => {
          const at = all.indexOf('\r\n');
          return at < 0 ? -1 : at + 2;
        });
        if (!line) {
          isComplete = false;
          break;
        }
        const size = parseInt(line.toString(), 16);
        const chunk = await this.#until((all) => (all.length < size + 2 ? -1 : size + 2));
        if (!chunk) {
          isComplete = false;
          break;
        }
        if (size === 0) break;
        parts.push(chunk.subarray(0, size));
      }
    } else {
      const size = Number(answer.headers['content-length'] ?? 0);
      const all = await this.#until((buffer) => (buffer.length < size ? -1 : size));
      if (all) parts.push(all);
      else isComplete = false;
    }
    if (answer.headers.connection === 'close') this.isClosed = true;
    return {
      ...answer,
      body: Buffer.concat(parts).toString(),
      isComplete,
      sentMs,
      endMs: performance.now(),
    };
  }
}
