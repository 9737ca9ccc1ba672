import test from 'ava'
import { startChild } from './child.ts'

test.serial('rejects when the process can not be started', async t => {
  const { execPath } = process
  process.execPath = '/nowhere/node'
  try {
    await t.throwsAsync(startChild('script.js', []), { message: /^Script "script.js" failed: spawn .*ENOENT/ })
  } finally {
    process.execPath = execPath
  }
})

test.serial('rejects when the process exits before it is ready', async t => {
  await t.throwsAsync(startChild('/nowhere/script.js', [], { logFile: '/dev/null' }), { message: /exited with code 1 before it was ready/ })
})
