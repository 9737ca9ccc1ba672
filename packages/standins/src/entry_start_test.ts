import type { ChildProcess } from 'node:child_process'
import type { EntryFiles, StartEntryProcessOptions } from './entry_process.ts'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createServer } from 'node:net'
import { createSocket } from 'node:dgram'
import { createCleanupStack } from '@bilberryworks/steering'
import { entryPorts, hasSignalHandlers, isEntryReady, readEntryLog, startEntryProcess, writeEntryFiles } from './entry_process.ts'
import { formatRequestHead, openRawCaller } from './raw_caller.ts'
import { createTestSite, testSiteHost, waitUntil } from './test_site.ts'

const metricsPort = 20_006
const timeLeftMs = 5_000
let instanceCount = 0

/** Time after SIGTERM within which a start that waits must have ended, in milliseconds. */
const endToleranceMs = 500
/** Time for which a start waits for an address, in milliseconds. */
const listenLimitMs = 30_000

/** Time for which a start waits for valid settings, in milliseconds. */
const settingsLimitMs = 10_000
/** Time that a process may take to start and to end, in milliseconds. */
const processMs = 5_000

/** How a process ended. */
interface ProcessEnd { code: number | null, signal: NodeJS.Signals | null }

/** Creates a store and a target, and the files of an instance that is started later. */
async function createStart ({ processingMs = 0 }: { processingMs?: number } = {}) {
  const cleanup = createCleanupStack()
  const site = cleanup.add(await createTestSite())
  site.writeConfig({ timeout: '20s' })
  await site.openTarget('t0', processingMs === 0 ? {} : { processingMs })
  const storeEndpoint = await site.store.openEndpoint()
  const files: EntryFiles = await writeEntryFiles({ index: instanceCount++, site: 0, failureDomains: ['a-1'], store: storeEndpoint.socketAddress, folder: await mkdtemp(join(tmpdir(), 'entry-start-test-')) })
  return {
    cleanup,
    files,
    start (options: StartEntryProcessOptions = {}): { child: ChildProcess, ended: Promise<ProcessEnd> } {
      const child = startEntryProcess(files, { ...options, flags: [`--metrics-port=${metricsPort}`] })
      const ended = new Promise<ProcessEnd>(resolve => child.once('exit', (code, signal) => resolve({ code, signal })))
      cleanup.add({
        async [Symbol.asyncDispose] () {
          child.kill('SIGKILL')
          await ended
        }
      })
      return { child, ended }
    },
    async send (): Promise<number | undefined> {
      const caller = openRawCaller(files.callers)
      caller.socket.write(formatRequestHead('/safe/x', { host: testSiteHost, id: `start-${Math.random()}`, timeLeftMs }))
      return (await caller.response).status
    },
    async readMetric (name: string): Promise<number> {
      const text = await (await fetch(`http://${files.host}:${metricsPort}/`)).text()
      return Number(text.split('\n').find(line => line.startsWith(`${name} `))?.split(' ')[1])
    },
    [Symbol.asyncDispose]: () => cleanup[Symbol.asyncDispose]()
  }
}

function createImport (text: string): StartEntryProcessOptions {
  return { nodeFlags: ['--import', `data:text/javascript,${encodeURIComponent(text)}`] }
}

const acceptErrors = 50
/** Lets accepting a connection fail on each listener, with EMFILE, ENFILE, ENOBUFS and ENOMEM in turn. */
const failAccepts = `
  import { Server } from 'node:net'
  const { listen } = Server.prototype
  Server.prototype.listen = function (...options) {
    this.once('listening', () => {
      for (let index = 0; index < ${acceptErrors}; index++) setTimeout(() => this._handle.onconnection([-24, -23, -105, -12][index % 4]), 300 + 10 * index)
    })
    return listen.apply(this, options)
  }`

test.serial('connections that can not be accepted do not end the process', async t => {
  await using started = await createStart()
  const { child } = started.start(createImport(failAccepts))
  t.true(await waitUntil(() => isEntryReady(started.files)))
  await wait(300 + 10 * acceptErrors)
  t.is(child.exitCode, null)
  t.is(await started.send(), 200)
  for (const listener of ['callers', 'look_ups', 'readiness', 'peers', 'metrics']) t.is(await started.readMetric(`bilberry_listener_errors_total{listener="${listener}"}`), acceptErrors)
  const lines = (await readEntryLog(started.files)).filter(line => line['event'] === 'listener_error')
  t.is(lines.length, 5 * 4)
})

/** Takes a TCP or UDP port until the returned function is called. */
async function takePort (host: string, port: number): Promise<() => void> {
  if (port === entryPorts.internal) {
    const socket = createSocket('udp4').unref()
    await new Promise<void>(resolve => socket.bind(port, host, resolve))
    return () => socket.close()
  }
  const server = createServer(connection => connection.destroy()).unref()
  await new Promise<void>(resolve => server.listen(port, host, resolve))
  return () => server.close()
}

async function findEvents (files: EntryFiles, event: string): Promise<Array<Record<string, unknown>>> {
  return (await readEntryLog(files)).filter(line => line['event'] === event)
}

const needed = [['callers', entryPorts.front], ['look_ups', entryPorts.directory], ['readiness', entryPorts.ready], ['peers', entryPorts.control]] as const
for (const [listener, port] of needed) {
  test.serial(`a start waits while the address for ${listener} is taken`, async t => {
    await using started = await createStart()
    const release = await takePort(started.files.host, port)
    const { child } = started.start()
    t.true(await waitUntil(async () => child.exitCode !== null || (await findEvents(started.files, 'listener_waiting')).length > 0))
    await wait(2_000)
    t.is(child.exitCode, null)
    t.is((await findEvents(started.files, 'started')).length, 0)
    release()
    t.true(await waitUntil(async () => (await findEvents(started.files, 'started')).length > 0))
    t.true(await waitUntil(() => isEntryReady(started.files)))
    t.is(await started.send(), 200)
    for (const event of ['listener_waiting', 'listener_opened']) t.deepEqual((await findEvents(started.files, event)).map(line => line['listener']), [listener])
  })
}

test.serial('an instance is not ready while the address for callers is taken', async t => {
  await using started = await createStart()
  const release = await takePort(started.files.host, entryPorts.front)
  started.start()
  t.true(await waitUntil(async () => (await findEvents(started.files, 'config_in_force')).length > 0))
  for (let checks = 0; checks < 10; checks++) {
    t.is((await fetch(`http://${started.files.host}:${entryPorts.ready}/ready`)).status, 503)
    await wait(100)
  }
  release()
  t.true(await waitUntil(() => isEntryReady(started.files)))
})

for (const [listener, port] of [['metrics', metricsPort], ['heartbeats', entryPorts.internal]] as const) {
  test.serial(`an instance serves while the address for ${listener} is taken, and opens it later`, async t => {
    await using started = await createStart()
    const release = await takePort(started.files.host, port)
    started.start()
    t.true(await waitUntil(() => isEntryReady(started.files)))
    t.is(await started.send(), 200)
    t.is((await findEvents(started.files, 'listener_opened')).length, 0)
    release()
    t.true(await waitUntil(async () => (await findEvents(started.files, 'listener_opened')).some(line => line['listener'] === listener)))
    t.is(await started.readMetric(`bilberry_listener_errors_total{listener="${listener}"}`), 0)
  })
}

test.serial('a start whose address stays taken ends with status 69 and without a stack trace', async t => {
  await using started = await createStart()
  const release = await takePort(started.files.host, entryPorts.front)
  const startedAtMs = performance.now()
  const { ended } = started.start()
  t.deepEqual(await ended, { code: 69, signal: null })
  release()
  const elapsedMs = performance.now() - startedAtMs
  t.true(elapsedMs >= listenLimitMs && elapsedMs < listenLimitMs + processMs, String(elapsedMs))
  t.is((await findEvents(started.files, 'listener_waiting')).length, 1)
  t.like(await findEvents(started.files, 'start_failed'), [{ exitStatus: 69 }])
  t.notRegex(await readFile(started.files.logFile, 'utf8'), /^\s+at /m)
})

test.serial('a request that was accepted before a start fails for another address is answered', async t => {
  await using started = await createStart({ processingMs: 2_000 })
  const release = await takePort(started.files.host, entryPorts.directory)
  const { ended } = started.start()
  t.true(await waitUntil(() => isEntryReady(started.files)))
  const [{ time } = {}] = await findEvents(started.files, 'listener_waiting')
  await wait(Date.parse(String(time)) + listenLimitMs - 1_000 - Date.now())
  t.is(await started.send(), 200)
  t.deepEqual(await ended, { code: 69, signal: null })
  release()
})

test.serial('SIGTERM ends a start that waits for an address at once', async t => {
  await using started = await createStart()
  const release = await takePort(started.files.host, entryPorts.front)
  const { child, ended } = started.start()
  t.true(await waitUntil(async () => hasSignalHandlers(child.pid!) && (await findEvents(started.files, 'listener_waiting')).length > 0))
  const signalledAtMs = performance.now()
  child.kill('SIGTERM')
  t.deepEqual(await ended, { code: 0, signal: null })
  t.true(performance.now() - signalledAtMs < endToleranceMs)
  release()
})

/** Lets opening the first sockets fail with each of the given errors in turn. */
const failOpening = `
  import { Server } from 'node:net'
  const { listen } = Server.prototype
  const codes = ['EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM']
  Server.prototype.listen = function (...options) {
    const code = options[0] === ${entryPorts.front} ? codes.shift() : undefined
    if (code === undefined) return listen.apply(this, options)
    process.nextTick(() => this.emit('error', Object.assign(new Error('listen ' + code), { code })))
    return this
  }`

test.serial('a start tries again after each error of the host that may pass', async t => {
  await using started = await createStart()
  started.start(createImport(failOpening))
  t.true(await waitUntil(() => isEntryReady(started.files)))
  t.deepEqual((await findEvents(started.files, 'listener_waiting')).map(line => line['code']), ['EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM'])
  t.is((await findEvents(started.files, 'listener_opened')).length, 1)
})

const faults = [
  { name: 'missing', write: (path: string) => rm(path) },
  { name: 'empty', write: (path: string) => writeFile(path, '') },
  { name: 'cut short', write: (path: string, text: string) => writeFile(path, text.slice(0, text.length / 2)) },
  { name: 'without an address', write: (path: string, text: string) => writeFile(path, text.replace('"front"', '"other"')) }
]
for (const { name, write } of faults) {
  test.serial(`a start waits while its settings file is ${name}`, async t => {
    await using started = await createStart()
    const { settingsFile, logFile } = started.files
    const text = await readFile(settingsFile, 'utf8')
    await write(settingsFile, text)
    const { child } = started.start()
    t.true(await waitUntil(async () => child.exitCode !== null || (await readFile(logFile, 'utf8')).includes('Settings are read again')))
    await wait(1_500)
    t.is(child.exitCode, null)
    t.is((await readFile(logFile, 'utf8')).split('\n').filter(line => line !== '').length, 1)
    await writeFile(settingsFile, text)
    t.true(await waitUntil(() => isEntryReady(started.files)))
    t.is(await started.send(), 200)
  })
}

test.serial('a start whose settings stay invalid ends with status 1 and every finding', async t => {
  await using started = await createStart()
  const { settingsFile, logFile } = started.files
  await writeFile(settingsFile, (await readFile(settingsFile, 'utf8')).replace('"front"', '"other"').replace('"zone"', '"area"'))
  const startedAtMs = performance.now()
  t.deepEqual(await started.start().ended, { code: 1, signal: null })
  const elapsedMs = performance.now() - startedAtMs
  t.true(elapsedMs >= settingsLimitMs && elapsedMs < settingsLimitMs + processMs, String(elapsedMs))
  const [waiting = '', ...findings] = (await readFile(logFile, 'utf8')).trim().split('\n')
  t.regex(waiting, /^Settings are read again for up to 10 s, findings: 2, the first at \/zone: /)
  t.deepEqual(findings.map(line => line.split(':')[0]), ['/zone', '/listen/front'])
})

test.serial('SIGTERM ends a start that waits for valid settings at once', async t => {
  await using started = await createStart()
  const { settingsFile, logFile } = started.files
  await rm(settingsFile)
  const { child, ended } = started.start()
  t.true(await waitUntil(async () => (await readFile(logFile, 'utf8')).includes('Settings are read again')))
  const signalledAtMs = performance.now()
  child.kill('SIGTERM')
  t.deepEqual(await ended, { code: 0, signal: null })
  t.true(performance.now() - signalledAtMs < endToleranceMs)
})
