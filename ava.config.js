export default {
  files: ['packages/*/dist/**/*_test.js', 'platform/dist/**/*_test.js'],
  concurrency: 4,
  timeout: '2m',
  workerThreads: false
}
