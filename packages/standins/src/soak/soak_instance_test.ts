import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { createSiteStore } from '../site_store.ts'
import { waitUntil } from '../test_site.ts'
import { startSoakInstance } from './soak_instance.ts'

const site = 0
/** Sends SIGHUP to the process itself when it opens its first listener. */
const reloadAtStart = `
  import { Server } from 'node:net'
  const { listen } = Server.prototype
  Server.prototype.listen = function (...options) {
    Server.prototype.listen = listen
    process.kill(process.pid, 'SIGHUP')
    return listen.apply(this, options)
  }`

test('an instance that is told to reload while it starts goes on', async t => {
  await using store = createSiteStore()
  const folder = await mkdtemp(join(tmpdir(), 'soak-test-'))
  await using instance = await startSoakInstance({ index: 0, site, failureDomains: ['a-1'], store, folder, nodeFlags: ['--import', `data:text/javascript,${encodeURIComponent(reloadAtStart)}`] })
  t.true(await waitUntil(async () => (await instance.readLog()).some(line => line['event'] === 'started')))
})
