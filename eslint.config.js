import { configs, plugins } from 'eslint-config-airbnb-extended';

/** Which packages of the workspace each package may import; dependencies point one way. */
const ALLOWED = {
  model: [],
  decisions: ['model'],
  ports: ['model'],
  endpoints: ['model'],
  peer: ['model'],
  'stand-ins': ['model'],
  daemon: ['model', 'decisions', 'ports', 'endpoints', 'peer', 'observe'],
  observe: [],
  gateway: ['model', 'decisions', 'peer', 'observe'],
  cli: ['model', 'decisions', 'ports', 'peer'],
  embedded: ['model', 'decisions', 'ports', 'stand-ins', 'daemon', 'cli'],
  benchmarks: [
    'model',
    'decisions',
    'ports',
    'endpoints',
    'peer',
    'stand-ins',
    'daemon',
    'cli',
    'embedded',
  ],
};

const importRules = Object.entries(ALLOWED).map(([name, allowed]) => ({
  files: [`packages/${name}/src/**/*.ts`],
  ignores: [`packages/${name}/src/test/**`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: Object.keys(ALLOWED)
          .filter((other) => other !== name && !allowed.includes(other))
          .map((other) => ({
            group: [`@chervilseam/${other}`, `@chervilseam/${other}/*`],
            message: `${name} must not import ${other}: dependencies point one way.`,
          })),
      },
    ],
  },
}));

export default [
  { ignores: ['**/dist/**', 'target/**', 'node_modules/**', 'bench-report/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    // The formatter decides about layout.
    rules: Object.fromEntries(
      Object.keys(plugins.stylistic.plugins['@stylistic'].rules).map((rule) => [
        `@stylistic/${rule}`,
        'off',
      ]),
    ),
  },
  {
    files: ['**/*.ts', '**/*.js', '.ci/**/*.mjs'],
    rules: {
      // One export a file, by name: the file is named after it.
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      // Paths end in .js, as Node's modules need them.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      // A constant object and the type of its values share one name.
      '@typescript-eslint/no-redeclare': 'off',
      // Messages of the wire and of library interfaces keep their names.
      'no-void': ['error', { allowAsStatement: true }],
      'no-bitwise': 'off',
      // Callbacks that a user of a class may set are fields, not methods.
      'class-methods-use-this': ['error', { enforceForClassFields: false }],
      'no-continue': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
  {
    files: ['**/src/test/**/*.ts'],
    rules: {
      '@typescript-eslint/no-unused-expressions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'max-classes-per-file': 'off',
    },
  },
  {
    files: ['deploy/**/*.js', '.ci/**/*.mjs'],
    rules: { 'import-x/no-extraneous-dependencies': ['error', { devDependencies: true }] },
  },
  { files: ['*.config.js'], rules: { 'import-x/no-default-export': 'off' } },
  ...importRules,
];
