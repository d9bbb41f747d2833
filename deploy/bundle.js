import { cp, rename } from 'node:fs/promises';
import { build } from 'esbuild';

// The state charts are read from a folder three levels above the program, as in their package.
const TARGET = 'target';
const PROGRAM = `${TARGET}/bin/server/main/chervilseamd.mjs`;

// A program that runs from the folder never meets half a file.
await cp('packages/decisions/charts', `${TARGET}/charts`, { recursive: true });
await build({
  entryPoints: ['platform/dist/main.js'],
  outfile: `${PROGRAM}.new`,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Each process holds the program's text in memory. Names are kept for stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  banner: {
    js: "import { createRequire as bundleRequire } from 'node:module'; const require = bundleRequire(import.meta.url);",
  },
  // Optional parts of libraries that nothing here needs.
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'cbor-extract', 'source-map-support'],
  logLevel: 'warning',
});
await rename(`${PROGRAM}.new`, PROGRAM);
