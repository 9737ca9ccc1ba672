import { mkdtemp } from 'node:fs/promises'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createCleanupStack } from '@bilberryworks/steering'
import { entryPorts, isEntryReady, startEntryProcess, writeEntryFiles } from './entry_process.ts'
import { formatRequestHead, openRawCaller } from './raw_caller.ts'
import { createTestSite, testSiteHost, waitUntil } from './test_site.ts'

const connections = 20
const connectHead = 'CONNECT example:443 HTTP/1.1\r\nHost: example:443\r\n\r\n'

for (const [title, before] of [['alone', ''], ['behind another request', formatRequestHead('/safe/x', { host: testSiteHost, id: 'first', timeLeftMs: 2_000 })]] as const) {
  test(`a connection that is reset after a CONNECT request ${title} does not end the process`, async t => {
    await using cleanup = createCleanupStack()
    const site = cleanup.add(await createTestSite())
    site.writeConfig()
    await site.openTarget('t0')
    const { socketAddress } = await site.store.openEndpoint()
    const files = await writeEntryFiles({ index: before.length > 0 ? 1 : 0, site: 0, failureDomains: ['a-1'], store: socketAddress, folder: await mkdtemp(join(tmpdir(), 'connect-method-test-')) })
    const child = startEntryProcess(files)
    cleanup.add({ async [Symbol.asyncDispose] () { child.kill('SIGKILL') } })
    t.true(await waitUntil(() => isEntryReady(files)))
    for (const port of [entryPorts.front, entryPorts.control, entryPorts.directory, entryPorts.ready]) {
      for (let index = 0; index < connections; index++) {
        const socket = connect({ host: files.host, port }).on('error', () => {})
        socket.write(before + connectHead)
        await wait(2 * (index % 5))
        socket.resetAndDestroy()
      }
    }
    await wait(500)
    const caller = openRawCaller(files.callers)
    caller.socket.write(formatRequestHead('/safe/x', { host: testSiteHost, id: 'last', timeLeftMs: 2_000 }))
    t.is((await caller.response).status, 200)
    t.is(child.exitCode, null)
  })
}
