import js from '@eslint/js';
import tseslint from 'typescript-eslint';

/** Packages whose code runs in nodes. */
const NODE_PACKAGES = [
  'addresses',
  'admission',
  'clock',
  'configuration',
  'domain',
  'gateway',
  'http-bindings',
  'membership',
  'node',
  'ownership',
  'placement',
  'serving',
  'settings',
  'slots',
  'telemetry',
];

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', 'journal/**', '**/node_modules/**', 'reports/**'] },
  js.configs.recommended,
  {
    files: ['packages/*/src/**/*.ts', 'packages/*/test/**/*.ts', 'platform/{src,test}/**/*.ts'],
    extends: [...tseslint.configs.recommendedTypeChecked],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      '@typescript-eslint/no-floating-promises': ['error', { ignoreVoid: true }],
      '@typescript-eslint/require-await': 'off',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      '@typescript-eslint/consistent-type-imports': 'error',
    },
  },
  {
    // Work that nobody awaits is given to runInBackground or keepRunning: a rejection of it ends the process.
    files: [`packages/{${NODE_PACKAGES.join(',')}}/src/**/*.ts`, 'platform/src/**/*.ts'],
    ignores: ['platform/src/standin/**'],
    rules: { '@typescript-eslint/no-floating-promises': ['error', { ignoreVoid: false }] },
  },
  {
    files: ['**/*.{js,mjs}'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly' } },
  },
);
