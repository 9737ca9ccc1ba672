import type { ExecutionContext } from 'ava'
import type { RawResponse } from './raw_caller.ts'
import type { SingleProcess } from './_single_process.ts'
import { createSocket } from 'node:dgram'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { startSingleProcess } from './_single_process.ts'
import { entryPorts } from './entry_process.ts'
import { formatRequestHead, openRawCaller } from './raw_caller.ts'
import { testSiteHost, waitUntil } from './test_site.ts'

/** A callback that throws. */
interface ThrowingCase {
  /** Expression that a line of the stack of the throwing call matches. */
  stack: string
  /** Label of the counter. */
  callback: string
  /** Function that throws: a property of a global object; `performance.now` by default. */
  thrower?: 'performance.now' | 'Array.prototype.push'
  /** Processing time of the targets, in milliseconds; 20 by default. */
  processingMs?: number
  /** Number of responses after which targets close a connection; none by default. */
  responsesPerClose?: number
  /** Time that callers have, in milliseconds; 5,000 by default. */
  timeLeftMs?: number
  /** Time after which callers leave, in milliseconds; they wait by default. */
  leaveMs?: number
  /** Provokes the callback; nothing by default. */
  provoke?: (started: SingleProcess) => Promise<void>
}

/** A request and its response. */
interface SentRequest { id: string, path: string, hasLeft: boolean, response: RawResponse }

const throws = 24
const targetSlots = 8
const callers = 8
const trafficMs = 2_500
const bodyBytes = 3_000
let requestCount = 0

const cases: Record<string, ThrowingCase> = {
  'the arrival of a request': { stack: 'createAttempt', callback: 'request' },
  'the submission of a request': { stack: 'submitAttempt .*dispatcher', callback: 'request' },
  'the body of a request': { stack: 'readPart', callback: 'request', thrower: 'Array.prototype.push' },
  'the choice of a target': { stack: 'findTarget', callback: 'request' },
  'the dispatch to a target': { stack: 'sendToTarget', callback: 'request' },
  'the record of a dispatch': { stack: 'add .*active_exchanges', callback: 'request' },
  'the first byte to a target': { stack: 'onSendStart', callback: 'request' },
  'the head of a response': { stack: 'onHead .*send_attempt', callback: 'request' },
  'the end of a response': { stack: 'onEnd .*send_attempt', callback: 'request' },
  'the record of the end of a request': { stack: 'recordEnd .*attempt_finisher', callback: 'request' },
  'the deadline of a request': { stack: 'expireAttempt', callback: 'request', processingMs: 400, timeLeftMs: 250 },
  'the leave of a caller': { stack: 'cancelAttempt', callback: 'request', processingMs: 400, leaveMs: 100 },
  'the queue': { stack: 'dispatchQueue', callback: 'dispatch', processingMs: 200 },
  'an event of a connection to a target': { stack: 'handleConnectionEvent', callback: 'connection', responsesPerClose: 2 },
  'a repeated task': { stack: 'runMaintenance', callback: 'task' },
  'a datagram': {
    stack: 'handleDatagram',
    callback: 'datagram',
    async provoke ({ files }) {
      const socket = createSocket('udp4')
      for (let index = 0; index < throws * 2; index++) socket.send(JSON.stringify(['peer', 1, index, true, { op: 1, servers: 1 }, {}]), entryPorts.internal, files.host)
      await wait(100)
      socket.close()
    }
  },
  'a look-up': {
    stack: 'handleLookUp',
    callback: 'call',
    async provoke ({ files }) {
      for (let index = 0; index < throws; index++) await fetch(`http://${files.host}:${entryPorts.directory}/resolve?name=${testSiteHost}&region=a&zone=a-1`).catch(() => {})
    }
  },
  'rows of the store': {
    stack: 'applyConfig',
    callback: 'rows',
    thrower: 'Array.prototype.push',
    async provoke ({ site }) {
      for (let index = 0; index < throws * 2; index++) {
        site.writeConfig({ timeout: '20s' })
        await wait(50)
      }
    }
  }
}

/** Makes a function throw some times in the stack of a case, from one SIGUSR2 to the next, though not while an earlier exception is handled. */
function createThrower ({ stack, thrower = 'performance.now' }: ThrowingCase): string {
  return `
    const [owner, name] = ${thrower === 'performance.now' ? '[performance, "now"]' : '[Array.prototype, "push"]'}
    const original = owner[name]
    const pattern = new RegExp(${JSON.stringify(`at (\\S+\\.)?${stack}`)})
    let isArmed = false
    let left = 0
    Error.stackTraceLimit = 60
    process.on('SIGUSR2', () => {
      isArmed = !isArmed
      left = isArmed ? ${throws} : 0
    })
    owner[name] = function (...values) {
      const stack = left > 0 ? new Error('probe').stack : ''
      if (left > 0 && pattern.test(stack) && !/at (\\S+\\.)?failAttempt/.test(stack)) {
        left--
        throw new Error('injected')
      }
      return Reflect.apply(original, this, values)
    }`
}

/** Sends requests one after the other until the time is over. */
async function sendRequests ({ files }: SingleProcess, { untilMs, timeLeftMs = 5_000, leaveMs }: ThrowingCase & { untilMs: number }): Promise<SentRequest[]> {
  const sent: SentRequest[] = []
  while (performance.now() < untilMs) {
    const path = ['/unsafe/x', '/upload/x', '/safe/x'][requestCount % 3]!
    const id = `throwing-${requestCount++}`
    const caller = openRawCaller(files.callers)
    const bytes = { '/unsafe/x': 0, '/upload/x': bodyBytes }[path]
    caller.socket.write(formatRequestHead(path, { host: testSiteHost, id, timeLeftMs, ...bytes === undefined ? {} : { bodyBytes: bytes } }))
    caller.socket.write(Buffer.alloc(bytes ?? 0))
    if (leaveMs !== undefined && sent.length % 2 === 0) {
      await wait(leaveMs)
      caller.socket.destroy()
      sent.push({ id, path, hasLeft: true, response: await caller.response })
      continue
    }
    sent.push({ id, path, hasLeft: false, response: await caller.response })
    caller.socket.destroy()
  }
  return sent
}

/** Checks that each request was answered, and truthfully, and that none that must run once ran twice. */
function checkAnswers (t: ExecutionContext, sent: SentRequest[], started: SingleProcess): void {
  const counts = new Map<string, number>()
  for (const id of started.listRunIds()) counts.set(id, (counts.get(id) ?? 0) + 1)
  const false_: string[] = []
  for (const { id, path, hasLeft, response: { status, isComplete, headers } } of sent) {
    const runs = counts.get(id) ?? 0
    const outcome = headers['bilberry-outcome']
    const isTrue = hasLeft || (isComplete && (status === 200 ? runs > 0 : outcome === 'unknown' || (outcome === 'not-run' && runs === 0)))
    if (!isTrue || (path !== '/safe/x' && runs > 1)) false_.push(`${id} ${path}: status ${status}, ${outcome}, ${headers['bilberry-reason']}, ${runs} runs`)
  }
  t.deepEqual(false_, [])
}

for (const [name, options] of Object.entries(cases)) {
  test(`an exception in ${name} fails nothing else, and each request is answered truthfully`, async t => {
    const targetOptions = { processingMs: options.processingMs ?? 20, slots: targetSlots, ...options.responsesPerClose === undefined ? {} : { responsesPerClose: options.responsesPerClose } }
    await using started = await startSingleProcess({ firstModule: createThrower(options), targets: [targetOptions, targetOptions] })
    const { child, readMetric, send } = started
    const untilMs = performance.now() + trafficMs
    const traffic = Promise.all(Array.from({ length: callers }, () => sendRequests(started, { ...options, untilMs })))
    await wait(300)
    child.kill('SIGUSR2')
    const countErrors = (): Promise<number> => readMetric(`bilberry_callback_errors_total{callback="${options.callback}"}`)
    const { provoke } = options
    if (provoke !== undefined) {
      await waitUntil(async () => {
        await provoke(started)
        return await countErrors() > 0
      })
    }
    const sent = (await traffic).flat()
    t.deepEqual([child.exitCode, child.signalCode], [null, null])
    t.true(await countErrors() > 0)
    t.is(await readMetric('bilberry_uncaught_errors_total'), 0)
    checkAnswers(t, sent, started)
    child.kill('SIGUSR2')
    for (const target of started.targets) target.setProcessingMs(20)
    const countInFlight = (): Promise<number> => readMetric('bilberry_in_flight_requests')
    t.true(await waitUntil(async () => await countInFlight() === 0), String(await countInFlight()))
    const responses = await Promise.all(Array.from({ length: 2 * targetSlots }, () => send('/unsafe/x', 0).response))
    t.deepEqual(responses.map(({ status }) => status), responses.map(() => 200))
  })
}
