import { createCli } from './lib/create-cli.js';

process.exitCode = await createCli().run(process.argv.slice(2));
