import { expect } from 'chai';
import { SentAttempt } from '../lib/dispatch/sent-attempt.js';
import { Endpoint } from '../lib/feed/endpoint.js';
import { endpointRecordOf } from './endpoint-record-of.js';

const BODY_BYTES = 100_000;
const SHORT_BYTES = 4_096;
/** Longest block that a body is collected in, in bytes. */
const BLOCK_BYTES = 16 * 1024;

describe('SentAttempt', () => {
  let attempt: SentAttempt;

  beforeEach(() => {
    const endpoint = new Endpoint(endpointRecordOf('engine'));
    attempt = new SentAttempt({
      endpoint,
      sentMs: 0,
      givenMs: 1_000,
      promptTokenCount: 0,
      heldTokenCount: 0,
      readTokenCount: 0,
      isTest: false,
    });
  });

  // Each chunk of an answer was kept as an object of its own, and only its byte counted against the memory budget: answers
  // without end in chunks of one byte ended the process.
  it('counts the memory that an answer in chunks of one byte takes', () => {
    const byte = Buffer.from('x');
    for (let index = 0; index < BODY_BYTES; index += 1) attempt.buffer(byte);
    expect(attempt.bufferedBytes).to.equal(BODY_BYTES);
    expect(attempt.heldBytes).to.be.within(BODY_BYTES, BODY_BYTES + BLOCK_BYTES);
    expect(attempt.takeBuffered().equals(Buffer.alloc(BODY_BYTES, 'x'))).to.equal(true);
    expect(attempt.heldBytes).to.equal(0);
  });

  // All that was kept was split into events again for each chunk.
  it('finds an event whose end comes in two chunks', () => {
    ['data: a', '\n'].forEach((part) => attempt.buffer(Buffer.from(part)));
    expect(attempt.hasEvent).to.equal(false);
    attempt.buffer(Buffer.from('\ndata: b'));
    expect(attempt.hasEvent).to.equal(true);
  });

  it('looks for events in a time that grows with the length of the answer', () => {
    const durationMs = (bytes: number): number => {
      const byte = Buffer.from('x');
      const startMs = performance.now();
      for (let index = 0; index < bytes; index += 1) {
        attempt.buffer(byte);
        expect(attempt.hasEvent).to.equal(false);
      }
      attempt.takeBuffered();
      return performance.now() - startMs;
    };
    durationMs(SHORT_BYTES);
    // Quadratic work would take 256 times as long.
    expect(durationMs(16 * SHORT_BYTES) / durationMs(SHORT_BYTES)).to.be.lessThan(64);
  });
});
