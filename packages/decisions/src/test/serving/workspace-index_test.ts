import { expect } from 'chai';
import { WorkspaceIndex } from '../../lib/serving/workspace-index.js';

const harvest = { name: 'harvest', keyDigests: ['d1', 'd2'] };
const cellar = { name: 'cellar', keyDigests: ['d2', 'd3'] };
const index = new WorkspaceIndex([harvest, cellar]);

describe('WorkspaceIndex', () => {
  it('grants access to the workspace that holds the key', () => {
    expect(index.accessOf({}, 'd1')).to.deep.equal({ kind: 'granted', workspace: harvest });
    expect(index.accessOf({}, 'd3')).to.deep.equal({ kind: 'granted', workspace: cellar });
  });

  it('gives a key that two workspaces hold to the first of them', () => {
    expect(index.accessOf({}, 'd2')).to.deep.equal({ kind: 'granted', workspace: harvest });
    expect(index.sharedKeys).to.deep.equal([
      { digest: 'd2', workspace: 'harvest', other: 'cellar' },
    ]);
  });

  it('denies access without a key or with an unknown one', () => {
    expect(index.accessOf({}, undefined)).to.deep.equal({ kind: 'denied' });
    expect(index.accessOf({ isPublic: false }, 'd4')).to.deep.equal({ kind: 'denied' });
  });

  it('needs no key on a public route, but knows the workspace of a caller that sends one', () => {
    const route = { isPublic: true };
    expect(index.accessOf(route, undefined)).to.deep.equal({
      kind: 'granted',
      workspace: undefined,
    });
    expect(index.accessOf(route, 'd4')).to.deep.equal({ kind: 'granted', workspace: undefined });
    expect(index.accessOf(route, 'd1')).to.deep.equal({ kind: 'granted', workspace: harvest });
  });
});
