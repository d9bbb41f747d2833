import { expect } from 'chai';
import { BodyBuffer } from '../lib/ingress/body-buffer.js';

// A body in chunks of one byte took some hundred bytes of memory for each of them, which ended the process.
describe('A body in many small parts', () => {
  [undefined, 40_000].forEach((bytes) => {
    it(`is put together in order with ${bytes ?? 'no'} known length`, () => {
      const body = Buffer.from(Array.from({ length: 40_000 }, (_, index) => index % 251));
      const buffer = new BodyBuffer(bytes);
      for (let index = 0; index < 20_000; index += 1) {
        buffer.append(body.subarray(index, index + 1));
      }
      buffer.append(body.subarray(20_000));
      expect(buffer.join().equals(body)).to.equal(true);
    });
  });

  it('may be empty', () => {
    expect(new BodyBuffer(undefined).join()).to.have.length(0);
    expect(new BodyBuffer(0).join()).to.have.length(0);
  });
});
