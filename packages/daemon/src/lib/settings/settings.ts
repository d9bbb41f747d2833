import type { z } from 'zod';
import type { settingsSchema } from './settings-schema.js';

/** The checked settings of a daemon. */
export type Settings = z.infer<typeof settingsSchema>;
