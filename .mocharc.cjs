const { join } = require('node:path');

module.exports = {
  timeout: 120_000,
  reporter: 'dot',
  exit: true,
  require: [join(__dirname, '.ci/complete-run.mjs')],
};
