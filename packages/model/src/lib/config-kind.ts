/** The kinds of object that an operator can create. */
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
