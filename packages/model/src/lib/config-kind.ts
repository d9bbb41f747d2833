/** The kinds of configuration objects. */
export const ConfigKind = {
  model: 'model',
  adapter: 'adapter',
  service: 'service',
  endpoint: 'endpoint',
  caller: 'caller',
  policy: 'policy',
} as const;

/** One of the kinds of {@link ConfigKind}. */
export type ConfigKind = (typeof ConfigKind)[keyof typeof ConfigKind];
