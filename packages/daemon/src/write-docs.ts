import { writeFile } from 'node:fs/promises';
import { settingsReference } from './lib/settings/settings-reference.js';

const target = new URL('../../../docs/SETTINGS.md', import.meta.url);
await writeFile(target, settingsReference());
