export default {
  files: [
    'packages/*/dist/test/**/*.test.js',
    'platform/dist/test/**/*.test.js',
    '!**/dist/test/crowds/**', // see ava.crowds.config.js
  ],
  timeout: '60s',
  workerThreads: false,
};
