import type { z } from 'zod';
import type { configSchemas } from './config-schemas.js';
import type { ConfigKind } from './config-kind.js';

/** The validated body of a configuration object of kind `K`. */
export type ConfigBody<K extends ConfigKind> = z.infer<(typeof configSchemas)[K]>;
