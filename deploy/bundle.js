import { cp, rm } from 'node:fs/promises';
import { build } from 'esbuild';

// The state charts are read from a folder three levels above the program, as in their package.
const TARGET = 'target';
const PROGRAM = `${TARGET}/bin/server/main/chervilseamd.mjs`;

await rm(TARGET, { recursive: true, force: true });
await build({
  entryPoints: ['platform/dist/main.js'],
  outfile: PROGRAM,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: {
    js: "import { createRequire as bundleRequire } from 'node:module'; const require = bundleRequire(import.meta.url);",
  },
  // Optional parts of libraries that nothing here needs.
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'cbor-extract', 'source-map-support'],
  logLevel: 'warning',
});
await cp('packages/decisions/charts', `${TARGET}/charts`, { recursive: true });
