import type { z } from 'zod';
import type { settingsSchema } from './settings-schema.js';

/** The settings of a daemon, after validation. */
export type Settings = z.infer<typeof settingsSchema>;
