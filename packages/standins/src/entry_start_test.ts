import type { ChildProcess } from 'node:child_process'
import type { EntryFiles, StartEntryProcessOptions } from './entry_process.ts'
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createCleanupStack } from '@bilberryworks/steering'
import { isEntryReady, readEntryLog, startEntryProcess, writeEntryFiles } from './entry_process.ts'
import { formatRequestHead, openRawCaller } from './raw_caller.ts'
import { createTestSite, testSiteHost, waitUntil } from './test_site.ts'

const metricsPort = 20_006
const timeLeftMs = 2_000
let instanceCount = 0

/** How a process ended. */
interface ProcessEnd { code: number | null, signal: NodeJS.Signals | null }

/** Creates a store and a target, and the files of an instance that is started later. */
async function createStart () {
  const cleanup = createCleanupStack()
  const site = cleanup.add(await createTestSite())
  site.writeConfig()
  await site.openTarget('t0')
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

test('connections that can not be accepted do not end the process', async t => {
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
