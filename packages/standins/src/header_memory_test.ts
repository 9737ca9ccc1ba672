import type { RawCaller } from './raw_caller.ts'
import { once } from 'node:events'
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createCleanupStack } from '@bilberryworks/steering'
import { isEntryReady, startEntryProcess, writeEntryFiles } from './entry_process.ts'
import { readResidentBytes } from './process_usage.ts'
import { openRawCaller } from './raw_caller.ts'
import { createTestSite, waitUntil } from './test_site.ts'

const bytesPerMb = 1_048_576
const memoryMb = 350
const connections = 4_000
const openBatch = 200
const openIntervalMs = 20
const holdMs = 4_000
/** Bytes of an incomplete header section, less than `node:http` receives of any. */
const headerBytes = 60_000
let instanceCount = 0

/** Starts a store and an instance as a process of its own. */
async function startProcess () {
  const cleanup = createCleanupStack()
  const site = cleanup.add(await createTestSite())
  site.writeConfig()
  await site.openTarget('t0')
  const { socketAddress } = await site.store.openEndpoint()
  const folder = await mkdtemp(join(tmpdir(), 'header-memory-test-'))
  const files = await writeEntryFiles({ index: instanceCount++, site: 0, failureDomains: ['a-1'], store: socketAddress, folder, limits: { memory_mb: memoryMb } })
  const child = startEntryProcess(files)
  const ended = once(child, 'exit')
  cleanup.add({
    async [Symbol.asyncDispose] () {
      child.kill('SIGKILL')
      await ended
    }
  })
  return { files, child, [Symbol.asyncDispose]: () => cleanup[Symbol.asyncDispose]() }
}

for (const [title, fieldBytes] of [['long', 1_000], ['short', 16]] as const) {
  test.serial(`incomplete header sections in ${title} fields stay within the memory of the host`, async t => {
    await using started = await startProcess()
    const { files, child } = started
    t.true(await waitUntil(() => isEntryReady(files)))
    const getEnd = (): number | NodeJS.Signals | null => child.exitCode ?? child.signalCode
    const bytes = `GET /safe/x HTTP/1.1\r\n${`a: ${'x'.repeat(fieldBytes - 5)}\r\n`.repeat(Math.floor(headerBytes / fieldBytes))}`
    const callers: RawCaller[] = []
    let peakBytes = 0
    const endMs = performance.now() + holdMs
    for (; performance.now() < endMs || callers.length < connections; await wait(openIntervalMs)) {
      for (let index = 0; index < openBatch && callers.length < connections; index++) {
        const caller = openRawCaller(files.callers)
        caller.response.catch(() => {})
        caller.socket.write(bytes)
        callers.push(caller)
      }
      if (getEnd() === null) peakBytes = Math.max(peakBytes, readResidentBytes(child.pid!))
    }
    for (const { socket } of callers) socket.destroy()
    t.log(`${Math.round(peakBytes / bytesPerMb)} MB resident`)
    t.is(getEnd(), null)
    t.true(peakBytes < memoryMb * bytesPerMb)
  })
}
