import type { ExecutionContext } from 'ava'
import type { ChildProcess } from 'node:child_process'
import type { EntryFiles } from './entry_process.ts'
import { Agent, request } from 'node:http'
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createCleanupStack } from '@bilberryworks/steering'
import { isEntryReady, applyDescriptorLimit, readEntryLog, startEntryProcess, writeEntryFiles } from './entry_process.ts'
import { createTestSite, testSiteHost, waitUntil } from './test_site.ts'

const targetCount = 6
const callerCount = 30
const spareDescriptors = 12
const observedMs = 6_000
/** Time after which connections to targets that carry no request are closed, in milliseconds. */
const settleMs = 4_000
const pauseMs = 5
const connectIntervalMs = 200
/** Time after which a process has noticed a change of its limits, in milliseconds. */
const refreshMs = 1_500
const timeLeftMs = 1_500
const failureDomains = ['a-1', 'a-2']
const minServedShare = 0.95

interface StartedFleet extends AsyncDisposable {
  files: EntryFiles[]
  children: ChildProcess[]
  /** Number of requests that ran, by identifier of the attempt. */
  countRuns: () => Map<string, number>
}

let siteCount = 0

/** Starts a store, targets and instances as processes of their own. */
async function startFleet (t: ExecutionContext, instances: number): Promise<StartedFleet> {
  const cleanup = createCleanupStack()
  const site = cleanup.add(await createTestSite())
  site.writeConfig()
  const targets = await Promise.all(Array.from({ length: targetCount }, (_, index) => site.openTarget(`t${index}`, { failureDomain: failureDomains[index % 2]!, slots: 20, processingMs: 20 })))
  const { socketAddress } = await site.store.openEndpoint()
  const folder = await mkdtemp(join(tmpdir(), 'few-descriptors-test-'))
  const number = siteCount++
  const files = await Promise.all(Array.from({ length: instances }, (_, index) => writeEntryFiles({ index, site: number, failureDomains, store: socketAddress, folder })))
  const children = files.map(file => startEntryProcess(file))
  cleanup.add({ async [Symbol.asyncDispose] () { for (const child of children) child.kill('SIGKILL') } })
  for (const file of files) t.true(await waitUntil(() => isEntryReady(file)))
  return {
    files,
    children,
    countRuns () {
      const runs = new Map<string, number>()
      for (const { attemptId } of targets.flatMap(target => target.runs)) runs.set(attemptId, (runs.get(attemptId) ?? 0) + 1)
      return runs
    },
    [Symbol.asyncDispose]: () => cleanup[Symbol.asyncDispose]()
  }
}

interface Call { id: string, status: number | undefined, reason: string, isReused: boolean }

/** Sends a request on the connection of a caller. */
function sendCall ({ callers }: EntryFiles, { id, agent }: { id: string, agent: Agent }): Promise<Call> {
  return new Promise(resolve => {
    const call = request({ ...callers, agent, path: '/safe/x', timeout: timeLeftMs + 500, headers: { Host: testSiteHost, 'X-Request-Id': id, 'X-Timeout-Ms': String(timeLeftMs) } }, response => {
      response.resume().on('close', () => resolve({ id, status: response.complete ? response.statusCode : undefined, reason: String(response.headers['bilberry-reason'] ?? ''), isReused: call.reusedSocket }))
    })
    call.on('timeout', () => call.destroy()).on('error', (error: NodeJS.ErrnoException) => resolve({ id, status: undefined, reason: error.code ?? error.message, isReused: call.reusedSocket })).end()
  })
}

/** Sends the requests of a caller one after the other until a time. */
async function sendCalls (files: EntryFiles, { caller, agent, endMs }: { caller: number, agent: Agent, endMs: number }): Promise<Call[]> {
  const calls: Call[] = []
  while (performance.now() < endMs) {
    calls.push(await sendCall(files, { id: `few-${caller}-${calls.length}`, agent }))
    await wait(pauseMs)
  }
  return calls
}

/** Sends a request on a new connection at intervals until a time. */
async function sendOthers (files: EntryFiles, endMs: number): Promise<Call[]> {
  const calls: Array<Promise<Call>> = []
  while (performance.now() < endMs) {
    const agent = new Agent()
    calls.push(sendCall(files, { id: `other-${calls.length}`, agent }).finally(() => agent.destroy()))
    await wait(connectIntervalMs)
  }
  return Promise.all(calls)
}

function countBy<T> (items: T[], getKey: (item: T) => string): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const item of items) counts[getKey(item)] = (counts[getKey(item)] ?? 0) + 1
  return counts
}

for (const [title, spares] of [
  ['one instance', [spareDescriptors]],
  ['three instances', [spareDescriptors, spareDescriptors, spareDescriptors]],
  ['one of three instances', [spareDescriptors, undefined, undefined]]
] as Array<[string, Array<number | undefined>]>) {
  test.serial(`${title} with few descriptors left live on and serve callers`, async t => {
    await using fleet = await startFleet(t, spares.length)
    const agents = Array.from({ length: callerCount }, () => new Agent({ keepAlive: true, maxSockets: 1 }))
    const limited = fleet.files.filter((_, index) => spares[index] !== undefined)
    await Promise.all(agents.map((agent, caller) => sendCall(limited[caller % limited.length]!, { id: `first-${caller}`, agent })))
    await wait(settleMs)
    for (const [index, child] of fleet.children.entries()) if (spares[index] !== undefined) applyDescriptorLimit(child.pid!, spares[index])
    const endMs = performance.now() + observedMs
    const calls = (await Promise.all(agents.map((agent, caller) => sendCalls(limited[caller % limited.length]!, { caller, agent, endMs })))).flat()
    for (const agent of agents) agent.destroy()
    const lines = (await Promise.all(fleet.files.map(readEntryLog))).flat()
    t.log(countBy(calls, ({ status, reason }) => `${status ?? 'none'} ${reason}`.trim()), countBy(lines, line => String(line['event'])))
    t.deepEqual(fleet.children.map(({ exitCode, signalCode }) => exitCode ?? signalCode), spares.map(() => null))
    for (const file of fleet.files) t.true(await waitUntil(() => isEntryReady(file)))
    const runs = fleet.countRuns()
    t.deepEqual(calls.filter(({ id, status }) => status === 200 && runs.get(id) !== 1), [])
    const served = calls.filter(({ status }) => status === 200).length
    t.true(served >= calls.length * minServedShare, `${served} of ${calls.length}`)
  })
}

test.serial('callers keep their connections to an instance with few descriptors left while others connect', async t => {
  await using fleet = await startFleet(t, 1)
  const [files, child] = [fleet.files[0]!, fleet.children[0]!]
  const agents = Array.from({ length: callerCount }, () => new Agent({ keepAlive: true, maxSockets: 1 }))
  await Promise.all(agents.map((agent, caller) => sendCall(files, { id: `first-${caller}`, agent })))
  await wait(settleMs)
  applyDescriptorLimit(child.pid!, spareDescriptors)
  await wait(refreshMs)
  const endMs = performance.now() + observedMs
  const [kept, others] = await Promise.all([
    Promise.all(agents.map((agent, caller) => sendCalls(files, { caller, agent, endMs }))),
    sendOthers(files, endMs)
  ])
  for (const agent of agents) agent.destroy()
  const calls = kept.flat()
  t.log(countBy(calls, ({ status, reason }) => `${status ?? 'none'} ${reason}`.trim()), countBy(others, ({ status, reason }) => `${status ?? 'none'} ${reason}`.trim()))
  t.is(child.exitCode ?? child.signalCode, null)
  t.deepEqual(others.filter(({ status }) => status === undefined), [])
  t.deepEqual(calls.filter(({ status }) => status === undefined), [])
  const reconnected = calls.filter(({ isReused }) => !isReused).length
  t.true(reconnected <= others.length, `${reconnected} of ${calls.length} on other connections`)
  const served = calls.filter(({ status }) => status === 200).length
  t.true(served >= calls.length * minServedShare, `${served} of ${calls.length}`)
})
