import { isSocketAddress } from '@chervilseam/model';
import { expect } from 'chai';
import { EndpointRegistry } from '../lib/feed/endpoint-registry.js';
import type { EndpointPage } from '../lib/ports/endpoint-page.js';
import { parsePeerKey } from '../lib/peer/parse-peer-key.js';
import { endpointRecordOf } from './endpoint-record-of.js';

const pageOf = (offset: number, ...changes: EndpointPage['changes']): EndpointPage => ({
  isWhole: false,
  changes,
  nextOffset: offset,
});

const joinOf = (id: string, overrides = {}): EndpointPage['changes'][number] => ({
  id,
  record: { ...endpointRecordOf(id), ...overrides },
});

// Another writer left one odd entry in the list of endpoints: the entries behind it on the same page were never
// seen, so engines that had joined stayed unknown and engines that had left went on being used.
const SUSPICION_MS = 1_240;

describe('EndpointRegistry with an odd entry', () => {
  let registry: EndpointRegistry;

  beforeEach(() => {
    registry = new EndpointRegistry(SUSPICION_MS);
    registry.apply(pageOf(1, joinOf('i-1')), 0, false);
  });

  it('applies the entries before and behind it', () => {
    const page = pageOf(5, joinOf('i-2'), joinOf('odd', { port: 99_999 }), joinOf('i-3'), {
      id: 'i-1',
    });
    const transitions = registry.apply(page, 0, false);
    expect(transitions.map(({ id, what }) => [id, what])).to.deep.equal([
      ['i-2', 'joined'],
      ['odd', 'refused'],
      ['i-3', 'joined'],
      ['i-1', 'left'],
    ]);
    expect(registry.all.map(({ id }) => id)).to.deep.equal(['i-2', 'i-3']);
  });

  it('returns to the true entries of an engine whose odd entry names a later start', () => {
    registry.apply(pageOf(2, joinOf('i-1', { bornMs: 9_000, host: '127.0.0.9' })), 0, false);
    [3, 4, 5].forEach((offset) => registry.apply(pageOf(offset, joinOf('i-1')), 0, false));
    expect(registry.get('i-1')?.record.host).to.equal('127.0.0.1');
    registry.apply(pageOf(6, joinOf('i-1', { isDraining: true })), 0, false);
    expect(registry.get('i-1')?.isLeaving).to.equal(true);
  });

  it('counts a read that several instances send once', () => {
    registry.apply(pageOf(2, joinOf('i-1', { bornMs: 9_000, host: '127.0.0.9' })), 0, false);
    for (let copy = 0; copy < 5; copy += 1) registry.apply(pageOf(3, joinOf('i-1')), 0, false);
    expect(registry.get('i-1')?.record.host).to.equal('127.0.0.9');
  });

  it('still ignores a late entry of an earlier run', () => {
    registry.apply(pageOf(2, joinOf('i-1', { bornMs: 9_000, host: '127.0.0.9' })), 0, false);
    registry.apply(pageOf(3, joinOf('i-1')), 0, false);
    expect(registry.get('i-1')?.record.host).to.equal('127.0.0.9');
  });
});

// What an engine says of itself holds for one run of its process.
describe('EndpointRegistry with an engine that has announced its exit', () => {
  let registry: EndpointRegistry;

  beforeEach(() => {
    registry = new EndpointRegistry(SUSPICION_MS);
    registry.apply(pageOf(1, joinOf('i-1')), 0, false);
  });

  it('counts it as leaving, also after further entries of that run', () => {
    expect(registry.announceLeaving('i-1@1').map(({ what }) => what)).to.deep.equal(['draining']);
    expect(registry.announceLeaving('i-1@1')).to.deep.equal([]);
    registry.apply(pageOf(2, joinOf('i-1')), 0, false);
    expect(registry.get('i-1')?.isLeaving).to.equal(true);
    expect(registry.announcedRuns).to.deep.equal(['i-1@1']);
  });

  it('starts clean with the next run under the same id', () => {
    registry.announceLeaving('i-1@1');
    registry.apply(pageOf(2, joinOf('i-1', { bornMs: 2 })), 0, false);
    expect(registry.get('i-1')?.isLeaving).to.equal(false);
    expect(registry.announcedRuns).to.deep.equal([]);
    expect(registry.announceLeaving('i-1@1')).to.deep.equal([]);
  });

  // Only the first 64 in the order of the list were told to other instances, so that a later announcement was never heard
  // of while those were listed.
  it('tells others of the latest announcements, among many engines that leave', () => {
    const ids = Array.from({ length: 200 }, (_, index) => `i-${index}`);
    registry.apply({ ...pageOf(2), changes: ids.flatMap((id) => joinOf(id)) }, 0, false);
    ids.forEach((id) => registry.announceLeaving(`${id}@1`));
    registry.announceLeaving('i-0@1');
    expect(registry.announcedRuns).to.include('i-199@1');
    const drainOf = (id: string): ReturnType<typeof joinOf> => joinOf(id, { isDraining: true });
    registry.apply({ ...pageOf(3), changes: ids.slice(1).flatMap(drainOf) }, 0, false);
    expect(registry.announcedRuns).to.deep.equal(['i-0@1']);
  });

  it('ignores what others say of unknown runs', () => {
    ['i-9@1', 'i-1@7', 'i-1', ''].forEach((run) =>
      expect(registry.announceLeaving(run)).to.deep.equal([]),
    );
  });
});

describe('isSocketAddress', () => {
  it('accepts addresses that instances listen at', () =>
    expect(isSocketAddress(parsePeerKey('10.1.0.38:8144'))).to.equal(true));

  [
    '',
    '10.0.0.1',
    '10.0.0.1:x',
    '10.0.0.1:99999',
    '10.0.0.1:0',
    '999.1.1.1:80',
    'nowhere:80',
  ].forEach((key) => {
    it(`refuses "${key}"`, () => expect(isSocketAddress(parsePeerKey(key))).to.equal(false));
  });
});
