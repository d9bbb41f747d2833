import { expect } from 'chai';
import { FrameCodec } from '../lib/frame-codec.js';
import type { FrameMessage } from '../lib/frame-message.js';

const SHORT_BYTES = 32 * 1024;
/** Length of the long frame, in short ones. */
const FACTOR = 16;
/** Largest ratio of the times: quadratic work would take 256 times as long. */
const RATIO_MAX = 64;

const messageOf = (bytes: number): FrameMessage => ({
  type: 'data',
  stream: 1,
  data: Buffer.alloc(bytes, 'x'),
});

// A frame that arrived in many chunks was copied anew with each of them: one of 1 MB over a slow link took as much time as
// hundreds of such frames.
describe('FrameCodec', () => {
  it('decodes frames however their bytes are cut', () => {
    const sent = [0, 1, 5, 3_000, 40_000].map(messageOf);
    const bytes = Buffer.concat(sent.map((message) => FrameCodec.encode(message)));
    [1, 2, 3, 7, 1_000, 20_000, bytes.length].forEach((chunkBytes) => {
      const codec = new FrameCodec();
      const received: FrameMessage[] = [];
      for (let at = 0; at < bytes.length; at += chunkBytes) {
        received.push(...codec.decode(bytes.subarray(at, at + chunkBytes)));
      }
      expect(received, `in chunks of ${chunkBytes}`).to.deep.equal(sent);
    });
  });

  it('decodes a frame in chunks of one byte in a time that grows with its length', () => {
    const durationMs = (frameBytes: number): number => {
      const frame = FrameCodec.encode(messageOf(frameBytes));
      const codec = new FrameCodec();
      const startMs = performance.now();
      for (let at = 0; at < frame.length; at += 1) codec.decode(frame.subarray(at, at + 1));
      return performance.now() - startMs;
    };
    durationMs(SHORT_BYTES);
    expect(durationMs(FACTOR * SHORT_BYTES) / durationMs(SHORT_BYTES)).to.be.lessThan(RATIO_MAX);
  });

  it('refuses a frame that is too large as soon as its header is complete', () => {
    const header = Buffer.from([0x7f, 0xff, 0xff, 0xff]);
    expect(() => new FrameCodec().decode(header)).to.throw('too large');
    const codec = new FrameCodec();
    codec.decode(header.subarray(0, 3));
    expect(() => codec.decode(header.subarray(3))).to.throw('too large');
  });
});
