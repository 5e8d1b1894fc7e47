/** Tests of crowds of clients, which measure the memory of processes and so run apart from all others. */
export default {
  files: ['packages/*/dist/test/crowds/**/*.test.js', 'platform/dist/test/crowds/**/*.test.js'],
  timeout: '120s',
  workerThreads: false,
};
