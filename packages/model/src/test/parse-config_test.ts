import { expect } from 'chai';
import fc from 'fast-check';
import { formatFinding, matchesSelector, parseConfig, sharedKeyFindings } from '../index.js';

describe('parseConfig', () => {
  it('reports all findings with their positions and suggests the closest key', () => {
    const text = [
      '[[model]]',
      'name = "die"',
      'weightBytes = 5',
      '[[polcy]]',
      'name = "x"',
      '[[caller]]',
      'name = "Bad Name"',
      'keySha256 = "zz"',
    ].join('\n');
    const { findings } = parseConfig('shop.toml', text);
    const lines = findings.map(formatFinding).join('\n');
    expect(lines).to.include('shop.toml:3:1: model/die: unknown key "weightBytes"');
    expect(lines).to.include('did you mean "weightsBytes"?');
    expect(lines).to.include('shop.toml:4:3: polcy: unknown kind "polcy"');
    expect(lines).to.include('shop.toml:7:1: caller/Bad Name');
    expect(lines).to.include('shop.toml:8:1: caller/Bad Name');
  });

  it('reports the position of a syntax error', () => {
    const [finding] = parseConfig('a.toml', 'x = [').findings;
    expect(finding.rule).to.equal('toml-syntax');
    expect(finding.line).to.equal(1);
  });

  it('never throws, for any text', () => {
    const fragment = fc.constantFrom(
      '[[model]]\n',
      'name="a"\n',
      'labels={',
      '}',
      '=',
      '[',
      '\n',
      'x',
    );
    fc.assert(
      fc.property(
        fc.oneof(
          fc.string(),
          fc.array(fragment).map((list) => list.join('')),
        ),
        (text) => {
          parseConfig('fuzz.toml', text);
        },
      ),
      { numRuns: 300, seed: 7 },
    );
  });
});

// Of two callers with one key, whose limits and priority applied was a matter of their order.
describe('sharedKeyFindings', () => {
  const callerOf = (name: string, digit: string): string =>
    `[[caller]]\nname = "${name}"\nkeySha256 = "${digit.repeat(64)}"\n`;

  it('reports each later caller with the same key at its position, in any file', () => {
    const files = [
      parseConfig('a.toml', callerOf('desk', 'a') + callerOf('till', 'b')),
      parseConfig('b.toml', callerOf('oven', 'c') + callerOf('cart', 'a')),
    ];
    expect(files.flatMap(({ findings }) => findings)).to.deep.equal([]);
    const [finding, ...others] = sharedKeyFindings(files).map(formatFinding);
    expect(others).to.deep.equal([]);
    expect(finding).to.match(/^b\.toml:6:1: caller\/cart: .* also that of caller\/desk/);
    expect(finding).not.to.include('a'.repeat(64));
  });
});

describe('matchesSelector', () => {
  const empty = { equal: {}, anyOf: {}, noneOf: {}, exists: [], absent: [] };

  it('requires all conditions', () => {
    const selector = { ...empty, equal: { desk: 'counter' }, absent: ['test'] };
    expect(matchesSelector(selector, { desk: 'counter' })).to.equal(true);
    expect(matchesSelector(selector, { desk: 'counter', test: '1' })).to.equal(false);
    expect(matchesSelector(selector, {})).to.equal(false);
  });

  it('checks anyOf, noneOf and exists', () => {
    const selector = { ...empty, anyOf: { a: ['1', '2'] }, noneOf: { b: ['x'] }, exists: ['c'] };
    expect(matchesSelector(selector, { a: '2', c: '' })).to.equal(true);
    expect(matchesSelector(selector, { a: '2', b: 'x', c: '' })).to.equal(false);
    expect(matchesSelector(selector, { a: '3', c: '' })).to.equal(false);
  });

  it('accepts any selector or reports a finding, and never throws', () => {
    fc.assert(
      fc.property(fc.json(), fc.constantFrom('models', 'callers', 'services'), (json, field) => {
        const value = JSON.stringify(json);
        const text = `[[policy]]\nname = "p"\n${field} = { equal = { a = ${value} } }\n`;
        const { objects, findings } = parseConfig('fuzz.toml', text);
        expect(objects.length + findings.length).to.be.greaterThan(0);
        objects.forEach(({ body }) => {
          const selector = (body as Record<string, typeof empty>)[field];
          expect(matchesSelector(selector, selector.equal)).to.equal(true);
        });
      }),
      { numRuns: 300, seed: 9 },
    );
  });
});
