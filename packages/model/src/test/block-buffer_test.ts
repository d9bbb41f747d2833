import { expect } from 'chai';
import { BlockBuffer } from '../lib/block-buffer.js';

const LENGTH = 40_000;

// A body in chunks of one byte took some hundred bytes of memory for each of them, which ended the process.
describe('A buffer of many small parts', () => {
  const filled = (firstBlockBytes?: number): { buffer: BlockBuffer; bytes: Buffer } => {
    const bytes = Buffer.from(Array.from({ length: LENGTH }, (_, index) => index % 251));
    const buffer = new BlockBuffer(firstBlockBytes);
    for (let index = 0; index < LENGTH / 2; index += 1) {
      buffer.append(bytes.subarray(index, index + 1));
    }
    buffer.append(bytes.subarray(LENGTH / 2));
    return { buffer, bytes };
  };

  [undefined, LENGTH].forEach((firstBlockBytes) => {
    it(`is put together in order with ${firstBlockBytes ?? 'no'} known length`, () => {
      const { buffer, bytes } = filled(firstBlockBytes);
      expect(buffer.length).to.equal(LENGTH);
      expect(buffer.join().equals(bytes)).to.equal(true);
    });
  });

  it('states the memory that it takes, which is not much more than its contents', () => {
    const { buffer } = filled();
    expect(buffer.heldBytes).to.be.within(LENGTH, LENGTH + 16 * 1024);
  });

  it('keeps nothing of what was taken', () => {
    const { buffer, bytes } = filled();
    expect(buffer.first(4).equals(bytes.subarray(0, 4))).to.equal(true);
    expect(buffer.take().equals(bytes)).to.equal(true);
    expect(buffer).to.include({ length: 0, heldBytes: 0 });
    buffer.append(Buffer.from('next'));
    expect(buffer.take().toString()).to.equal('next');
  });

  it('copies a last part only if there are others', () => {
    const buffer = new BlockBuffer();
    const last = Buffer.from('last');
    expect(buffer.takeWith(last)).to.equal(last);
    buffer.append(Buffer.from('first '));
    expect(buffer.takeWith(last).toString()).to.equal('first last');
    expect(buffer).to.include({ length: 0, heldBytes: 0 });
  });

  it('may be empty', () => {
    expect(new BlockBuffer().join()).to.have.length(0);
    expect(new BlockBuffer(0).join()).to.have.length(0);
  });
});
