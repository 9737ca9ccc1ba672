import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createCleanupStack } from '@bilberryworks/steering'
import { isEntryReady, startEntryProcess, writeEntryFiles } from './entry_process.ts'
import { formatRequestHead, openRawCaller } from './raw_caller.ts'
import { createTestSite, testSiteHost, waitUntil } from './test_site.ts'

const limitMs = 1_500
const timeLeftMs = 10_000

for (const [state, isUsed] of [['has carried nothing', false], ['has carried a request', true]] as const) {
  test(`a request that arrives in a pause of the process is read although its connection, which ${state}, has reached its limit`, async t => {
    await using cleanup = createCleanupStack()
    const site = cleanup.add(await createTestSite())
    site.writeConfig({}, {}, { header_timeout: `${limitMs}ms`, idle_timeout: `${limitMs}ms` })
    const target = await site.openTarget('t0')
    const { socketAddress } = await site.store.openEndpoint()
    const files = await writeEntryFiles({ index: Number(isUsed), site: 0, failureDomains: ['a-1'], store: socketAddress, folder: await mkdtemp(join(tmpdir(), 'idle-pause-test-')) })
    const child = startEntryProcess(files)
    cleanup.add({
      async [Symbol.asyncDispose] () {
        child.kill('SIGKILL')
      }
    })
    t.true(await waitUntil(() => isEntryReady(files)))
    const send = (id: string): string => formatRequestHead('/safe/x', { host: testSiteHost, id, timeLeftMs })
    const caller = openRawCaller(files.callers)
    if (isUsed) {
      caller.socket.write(send('first'))
      t.is((await caller.response).status, 200)
    }
    await wait(limitMs / 2)
    child.kill('SIGSTOP')
    await wait(100)
    caller.socket.write(send('paused'))
    await wait(limitMs)
    child.kill('SIGCONT')
    t.true(await waitUntil(() => caller.socket.destroyed || target.runs.some(run => run.attemptId === 'paused')))
    t.true(target.runs.some(run => run.attemptId === 'paused'))
    t.false(caller.isReset())
  })
}
