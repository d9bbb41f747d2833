import { expect } from 'chai';
import { EventStream } from '../lib/entry/event-stream.js';

const SHORT_BYTES = 16 * 1024;

describe('EventStream', () => {
  it('passes on whole events and counts their tokens, in parts of one byte', () => {
    const stream = new EventStream();
    const sent = 'data: a\n\ndata: b\n\ndata: {"finish_reason":"stop"}\n\ndata: [DONE]\n\n';
    const parts = [...sent].map((letter) => stream.push(Buffer.from(letter)));
    const events = parts.flatMap((part) => (part?.events ? [part.events.toString()] : []));
    expect(events.join('')).to.equal(sent);
    expect(events).to.have.length(4);
    expect(parts.reduce((sum, part) => sum + (part?.tokenCount ?? 0), 0)).to.equal(2);
    expect(parts.at(-1)?.isDone).to.equal(true);
  });

  it('drops what it has of an event when another engine goes on', () => {
    const stream = new EventStream();
    stream.push(Buffer.from('data: a\n'));
    stream.reset();
    expect(stream.push(Buffer.from('\ndata: b\n\n'))?.events?.toString()).to.equal('\ndata: b\n\n');
  });

  // All that had arrived of an event was copied and searched again for each part.
  it('takes a time that grows with the length of an event that comes in parts of one byte', () => {
    const durationMs = (bytes: number): number => {
      const stream = new EventStream();
      const startMs = performance.now();
      for (let index = 0; index < bytes; index += 1) stream.push(Buffer.from('x'));
      return performance.now() - startMs;
    };
    durationMs(SHORT_BYTES);
    // Quadratic work would take 256 times as long.
    expect(durationMs(16 * SHORT_BYTES) / durationMs(SHORT_BYTES)).to.be.lessThan(64);
  });
});
