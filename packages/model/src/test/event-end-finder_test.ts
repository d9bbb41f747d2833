import { expect } from 'chai';
import { EventEndFinder } from '../lib/event-end-finder.js';

const STREAM = Buffer.from('id: 1\ndata: a\n\n\ndata: b\n\n\n\n\n\nid: 2\n');
/** Where its events end: each empty line ends one, and a line break belongs to one end only. */
const ENDS = [15, 25, 27, 29];

const endsOf = (parts: readonly Buffer[]): number[] => {
  const finder = new EventEndFinder();
  let offset = 0;
  return parts.flatMap((part) => {
    const ends = finder.push(part).map((end) => offset + end);
    offset += part.length;
    return ends;
  });
};

// What had arrived of an event was searched again with each part, and parts were joined for it.
describe('EventEndFinder', () => {
  it('finds the same ends however the stream is cut in three', () => {
    for (let first = 0; first <= STREAM.length; first += 1) {
      for (let second = first; second <= STREAM.length; second += 1) {
        const parts = [
          STREAM.subarray(0, first),
          STREAM.subarray(first, second),
          STREAM.subarray(second),
        ];
        expect(endsOf(parts), `cut at ${first} and ${second}`).to.deep.equal(ENDS);
      }
    }
  });

  it('finds the same ends in parts of one byte', () => {
    const parts = Array.from(STREAM, (byte) => Buffer.from([byte]));
    expect(endsOf(parts)).to.deep.equal(ENDS);
  });

  it('begins anew after a reset', () => {
    const finder = new EventEndFinder();
    finder.push(Buffer.from('data: a\n'));
    finder.reset();
    expect(finder.push(Buffer.from('\ndata: b\n\n'))).to.deep.equal([10]);
  });
});
