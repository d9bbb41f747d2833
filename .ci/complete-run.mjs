// Fails a test run that ends before every test has been run, whatever ends it.
let root;

export const mochaHooks = {
  beforeAll() {
    root = this.test.parent;
  },
};

const countOf = (suite, isCounted) =>
  suite.tests.filter(isCounted).length +
  suite.suites.reduce((sum, inner) => sum + countOf(inner, isCounted), 0);

process.on('exit', () => {
  if (process.argv.includes('--dry-run')) return;
  const total = root ? countOf(root, () => true) : 0;
  const missing = root ? countOf(root, ({ state, pending }) => !state && !pending) : 0;
  if (total > 0 && missing === 0) return;
  process.stderr.write(`the run ended early: ${missing} of ${total} tests were not run\n`);
  process.exitCode ||= 1;
});
