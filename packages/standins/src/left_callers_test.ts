import type { PathRelay } from './path_relay.ts'
import type { CallOptions, TestEntry, TestSite } from './test_site.ts'
import type { SiteTarget } from './site_target.ts'
import { connect } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { PathState, startPathRelay } from './path_relay.ts'
import { createTestSite, testSiteHost, waitUntil } from './test_site.ts'

const goneMs = 500
const leaveAfterMs = 50
const calls = 12
const uploadBytes = 700_000
const longTimeMs = 8_000

/** Starts an instance and targets, and opens a kept connection to each target. */
async function startSite (site: TestSite, { targets, path, processingMs = 5 }: { targets: number, path?: PathRelay, processingMs?: number }): Promise<{ entry: TestEntry, opened: SiteTarget[] }> {
  site.writeConfig()
  const opened: SiteTarget[] = []
  for (let index = 0; index < targets; index++) opened.push(await site.openTarget(`t${index}`, { processingMs }))
  const entry = await site.startEntry(0, [], path)
  await waitUntil(async () => (await site.call(entry)).status === 200)
  await waitUntil(async () => {
    await Promise.all(Array.from({ length: targets * 4 }, (_, index) => site.call(entry, { affinityKey: String(index) })))
    return opened.every(target => target.arrivalsMs.length > 0)
  })
  return { entry, opened }
}

function formatCall (index: number, timeLeftMs: number): string {
  return `GET /safe/x HTTP/1.1\r\nHost: ${testSiteHost}\r\nX-Request-Id: left-${index}\r\nX-Timeout-Ms: ${timeLeftMs}\r\n\r\n`
}

/** Lists the requests of callers that have left which reached targets. */
function listReceived (opened: SiteTarget[]): string[] {
  return opened.flatMap(target => target.receivedIds).filter(id => id.startsWith('left-'))
}

async function sendAndLeave (site: TestSite, entry: TestEntry, call: CallOptions): Promise<void> {
  const controller = new AbortController()
  const sent = site.call(entry, { ...call, signal: controller.signal })
  await wait(leaveAfterMs)
  controller.abort()
  await sent
}

for (const [title, call] of [['safe', {}], ['unsafe', { path: '/unsafe/x', method: 'POST', body: 'order' }], ['upload', { path: '/upload/x', method: 'POST', body: Buffer.alloc(60_000, 'x') }]] as Array<[string, CallOptions]>) {
  test(`does not deliver a request after its caller has left when a silent path opens again: ${title}`, async t => {
    await using site = await createTestSite()
    await using path = await startPathRelay()
    const { entry, opened } = await startSite(site, { targets: 4, path })
    await path.setState(PathState.Holding)
    await Promise.all(Array.from({ length: calls }, (_, index) => sendAndLeave(site, entry, { ...call, id: `left-${index}`, affinityKey: String(index) })))
    await wait(goneMs)
    await path.setState(PathState.Open)
    await wait(goneMs)
    t.deepEqual(listReceived(opened), [])
  })
}

test('does not send an upload that waits for a target after its caller has left', async t => {
  await using site = await createTestSite()
  const { entry, opened } = await startSite(site, { targets: 1 })
  opened[0]!.setProcessingMs(300)
  const busy = Array.from({ length: 3 }, (_, index) => site.call(entry, { id: `busy-${index}`, path: '/unsafe/x', method: 'POST', body: 'order' }))
  await waitUntil(() => opened[0]!.runs.filter(run => run.attemptId.startsWith('busy-')).length === busy.length)
  await Promise.all(Array.from({ length: calls }, (_, index) => sendAndLeave(site, entry, { id: `left-${index}`, path: '/upload/x', method: 'POST', body: Buffer.alloc(uploadBytes, 'x') })))
  await Promise.all(busy)
  await wait(goneMs)
  t.deepEqual(listReceived(opened), [])
})

test('does not send a request whose caller has left before it is read', async t => {
  await using site = await createTestSite()
  const { entry, opened } = await startSite(site, { targets: 1 })
  const { host, port } = entry.settings.listen.callers
  const callers = Array.from({ length: calls }, () => connect({ host, port, noDelay: true }))
  await Promise.all(callers.map(socket => new Promise(resolve => socket.once('connect', resolve))))
  // The instance runs in this process, so it reads nothing until the callers have closed their connections.
  for (const [index, socket] of callers.entries()) {
    socket.write(formatCall(index, longTimeMs))
    socket.destroy()
  }
  await wait(goneMs)
  t.deepEqual(listReceived(opened), [])
})
