export default {
  files: ['packages/*/dist/test/**/*.test.js', 'platform/dist/test/**/*.test.js'],
  timeout: '60s',
  workerThreads: false,
};
