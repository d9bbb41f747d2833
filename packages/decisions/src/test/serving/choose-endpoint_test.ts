import { expect } from 'chai';
import { chooseEndpoint } from '../../lib/serving/choose-endpoint.js';
import type { EndpointCandidate } from '../../lib/serving/choose-endpoint.js';

const candidate = (id: string, more: Partial<EndpointCandidate>): EndpointCandidate => ({
  id,
  outstandingCount: 0,
  slotCount: 64,
  isPaused: false,
  failureCount: 0,
  prefillMs: 0,
  latencyMs: 0,
  interEventMs: 0,
  isLocal: true,
  ...more,
});

describe('chooseEndpoint', () => {
  it('sends a request that may end its endpoint where the fewest requests run', () => {
    const candidates = [
      candidate('crowded', { outstandingCount: 3 }),
      candidate('slower', { outstandingCount: 1, prefillMs: 100 }),
    ];
    expect(chooseEndpoint(candidates, 0, true)?.id).to.equal('slower');
    expect(chooseEndpoint(candidates, 0)?.id).to.equal('crowded');
  });

  // An endpoint that does not answer has the fewest requests of all, and attracted the suspect ones.
  it('does not send it to a paused endpoint although no requests run there', () => {
    const candidates = [
      candidate('paused', { isPaused: true }),
      candidate('full', { outstandingCount: 64 }),
    ];
    expect(chooseEndpoint(candidates, 0, true)?.id).to.equal('full');
  });
});
