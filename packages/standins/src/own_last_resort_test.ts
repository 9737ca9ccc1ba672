import { setTimeout as wait } from 'node:timers/promises'
import { indexKey, TableName } from '@bilberryworks/platform'
import test from 'ava'
import { createCleanupStack } from '@bilberryworks/steering'
import { request } from 'undici'
import { startFakeTarget } from './fake_target.ts'
import { ownProcessToken, startOwnProcess } from './own_process.ts'
import { firstDocument } from './_single_instance.ts'
import { createSiteStore } from './site_store.ts'
import { registerTargets } from './target_rows.ts'
import { waitUntil } from './test_site.ts'

const uncaughtErrorStatus = 70
const slowMs = 1_500
const failOnSignal = 'process.on("SIGUSR2", () => { throw new Error("injected") })'

/** Starts a store, a target and an instance of the own interface, and waits until it serves. */
async function startProcess () {
  const cleanup = createCleanupStack()
  const store = cleanup.add(createSiteStore())
  const { url } = await store.openEndpoint()
  const { service } = firstDocument
  const target = cleanup.add(await startFakeTarget({ target: 'target-0', service, slots: 3, failureDomain: 'sofia-a', region: 'sofia', serviceMs: 0 }))
  registerTargets(store, [target.record])
  store.writeRow(TableName.Documents, service, { revision: 1, document: firstDocument, acceptedAtMs: 0, author: 'test', submissionId: 'first' })
  store.writeRow(TableName.Index, indexKey, { revisions: { [service]: 1 }, shifts: {}, feeds: {}, clientBlocks: 0 })
  const instance = cleanup.add(await startOwnProcess({ platformUrl: url, settings: { longestDispatchMs: 500, lookUpTtlSeconds: 1, stopLimitMs: 4_000 }, nodeFlags: ['--import', `data:text/javascript,${encodeURIComponent(failOnSignal)}`] }))
  async function send (): Promise<{ status: number | undefined, outcome: unknown }> {
    try {
      const { statusCode, headers, body } = await request(`http://${instance.addresses.callers}/services/${service}/x`, { method: 'POST', body: 'x' })
      await body.dump()
      return { status: statusCode, outcome: headers['bilberry-outcome'] }
    } catch {
      return { status: undefined, outcome: undefined }
    }
  }
  await waitUntil(async () => (await send()).status === 200)
  target.runs.length = 0
  target.behaviour.serviceMs = slowMs
  return { ...instance, target, send, [Symbol.asyncDispose]: cleanup[Symbol.asyncDispose] }
}

test('after an exception that nothing caught, an instance of the own interface answers what it has accepted before it ends', async t => {
  await using started = await startProcess()
  const { child, target, send, addresses } = started
  const before = Array.from({ length: 3 }, send)
  await waitUntil(() => target.runs.length === 3)
  child.kill('SIGUSR2')
  await wait(100)
  const { body } = await request(`http://${addresses.operators}/metrics`, { headers: { Authorization: `Bearer ${ownProcessToken}` } })
  t.regex(await body.text(), /^bilberry_uncaught_errors_total 1$/m)
  t.deepEqual(await Promise.all(before), before.map(() => ({ status: 200, outcome: 'answered' })))
  t.is(target.runs.length, 3)
  t.deepEqual(await started.ended, { code: uncaughtErrorStatus, signal: null })
  t.is(started.readErrors().split('\n').filter(line => line.includes('Error: injected\\n    at ')).length, 1)
})

test('a second error that nothing caught ends an instance of the own interface at once', async t => {
  await using started = await startProcess()
  started.child.kill('SIGUSR2')
  await wait(200)
  t.is(started.child.exitCode, null)
  const failedAtMs = performance.now()
  started.child.kill('SIGUSR2')
  t.deepEqual(await started.ended, { code: uncaughtErrorStatus, signal: null })
  t.true(performance.now() - failedAtMs < 1_000)
})
