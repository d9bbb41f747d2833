import { expect } from 'chai';
import { ConfigSources } from '../../index.js';

// Instances that learn of a version from the same report all read it over the link of one instance, and
// kept asking an instance that did not deliver.
describe('ConfigSources', () => {
  const NOW_MS = 1_000;
  let sources: ConfigSources;

  beforeEach(() => {
    sources = new ConfigSources();
    sources.report({ address: 'far:1', version: 5, isLocal: false }, NOW_MS);
    sources.report({ address: 'near:1', version: 5, isLocal: true }, NOW_MS);
    sources.report({ address: 'near:2', version: 5, isLocal: true }, NOW_MS);
    sources.report({ address: 'old:1', version: 3, isLocal: true }, NOW_MS);
  });

  it('spreads the reads over the instances of the own failure domain', () => {
    const addresses = [0, 0.3, 0.6, 0.99].map((unit) => sources.choose(3, NOW_MS, unit));
    expect(addresses).to.deep.equal(['near:1', 'near:1', 'near:2', 'near:2']);
  });

  it('prefers another failure domain to an instance that has just failed', () => {
    sources.markFailed('near:1', NOW_MS);
    expect(sources.choose(3, NOW_MS, 0)).to.equal('near:2');
    sources.markFailed('near:2', NOW_MS);
    expect(sources.choose(3, NOW_MS, 0)).to.equal('far:1');
  });

  it('remembers a failure over later reports, and chooses a failed instance rather than none', () => {
    ['near:1', 'near:2', 'far:1'].forEach((address) => sources.markFailed(address, NOW_MS));
    sources.report({ address: 'near:2', version: 6, isLocal: true }, NOW_MS);
    expect(sources.choose(5, NOW_MS, 0)).to.equal('near:2');
  });

  it('chooses no instance without a newer version, or whose report is old', () => {
    expect(sources.choose(5, NOW_MS, 0)).to.equal(undefined);
    expect(sources.choose(3, NOW_MS + 2_001, 0)).to.equal(undefined);
    expect(sources.newestVersion).to.equal(5);
  });
});
