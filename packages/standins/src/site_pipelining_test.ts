import type { TestSite, TestEntry } from './test_site.ts'
import type { SiteTarget } from './site_target.ts'
import { randomUUID } from 'node:crypto'
import { once } from 'node:events'
import { connect } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import fc from 'fast-check'
import { TargetFault } from './site_target.ts'
import { createTestSite, testSiteHost, waitUntil } from './test_site.ts'

const seed = 20261204
const unknownRoutePath = '/nowhere/x'

interface PipelinedMessage {
  path: string
  isClosing: boolean
}

interface ReceivedResponse {
  status: number
  id: string | undefined
  isComplete: boolean
}

interface Exchange {
  ids: string[]
  responses: ReceivedResponse[]
  isClosed: boolean
}

const anyPipeline = fc.record({
  paths: fc.array(fc.constantFrom('/safe/x', '/safe/y', '/safe/z', '/unsafe/x', unknownRoutePath), { minLength: 2, maxLength: 12 }),
  closingIndex: fc.option(fc.nat({ max: 11 }), { nil: undefined }),
  processingMs: fc.array(fc.integer({ min: 0, max: 30 }), { minLength: 2, maxLength: 2 }),
  faults: fc.array(fc.constantFrom(...Object.values(TargetFault)), { maxLength: 5 }),
  malformedTail: fc.boolean()
})

function encodeRequest ({ path, isClosing }: PipelinedMessage, id: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: ${testSiteHost}\r\nX-Request-Id: ${id}\r\nX-Timeout-Ms: 1500\r\n${isClosing ? 'Connection: close\r\n' : ''}\r\n`
}

/** Parses responses that have a `Content-Length`. */
function parseResponses (text: string): ReceivedResponse[] {
  const responses: ReceivedResponse[] = []
  for (let rest = text; rest.length > 0;) {
    const headEnd = rest.indexOf('\r\n\r\n')
    const head = headEnd < 0 ? rest : rest.slice(0, headEnd)
    const length = Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? NaN)
    const bodyStart = head.length + 4
    const isComplete = headEnd >= 0 && rest.length >= bodyStart + length
    responses.push({ status: Number(/^HTTP\/1\.1 (\d{3}) /.exec(head)?.[1]), id: /\r\nx-request-id: (\S+)/i.exec(head)?.[1], isComplete })
    rest = isComplete ? rest.slice(bodyStart + length) : ''
  }
  return responses
}

/** Sends requests on one connection in a single write, and reads until the connection closes or each request has a response. */
async function sendPipeline (entry: TestEntry, messages: PipelinedMessage[], options: { tail?: string, onSent?: () => Promise<unknown> } = {}): Promise<Exchange> {
  const ids = messages.map(() => randomUUID())
  const socket = connect(entry.settings.listen.callers)
  let [text, isClosed] = ['', false]
  socket.on('data', part => { text += part.toString('latin1') })
  socket.on('error', () => {})
  socket.on('close', () => { isClosed = true })
  socket.write(messages.map((message, index) => encodeRequest(message, ids[index]!)).join('') + (options.tail ?? ''))
  await options.onSent?.()
  const hasTail = options.tail !== undefined
  await waitUntil(() => isClosed || (!hasTail && parseResponses(text).filter(response => response.isComplete).length === messages.length))
  const exchange = { ids, responses: parseResponses(text), isClosed }
  if (!isClosed) {
    socket.destroy()
    await once(socket, 'close')
  }
  return exchange
}

function check (isTrue: boolean, rule: string, detail: unknown): void {
  if (!isTrue) throw new Error(`${rule}: ${JSON.stringify(detail)}`)
}

async function startSite (site: TestSite): Promise<{ entry: TestEntry, targets: SiteTarget[] }> {
  site.writeConfig()
  const targets = [await site.openTarget('t1'), await site.openTarget('t2')]
  const entry = await site.startEntry(0)
  await waitUntil(async () => (await site.call(entry)).status === 200)
  return { entry, targets }
}

test('gives each pipelined request its own response, in order and at most once', async t => {
  await using site = await createTestSite()
  const { entry, targets } = await startSite(site)
  await fc.assert(fc.asyncProperty(anyPipeline, async input => {
    const messages = input.paths.map((path, index) => ({ path, isClosing: index === input.closingIndex }))
    const closingIndex = messages.findIndex(message => message.isClosing)
    for (const [index, target] of targets.entries()) {
      target.runs.length = 0
      target.setProcessingMs(input.processingMs[index]!)
    }
    for (const [index, fault] of input.faults.entries()) targets[index % targets.length]!.addFaults([fault])
    const { ids, responses, isClosed } = await sendPipeline(entry, messages, input.malformedTail ? { tail: 'no request\r\n\r\n' } : {})
    for (const target of targets) target.dropFaults()
    const runs = targets.flatMap(target => target.runs)
    const countRuns = (id: string): number => runs.filter(run => run.attemptId === id).length

    for (const [index, response] of responses.entries()) {
      const { path } = messages[index]!
      const detail = { index, response, path, messages }
      check(response.id === undefined || response.id === ids[index], 'a response belongs to another request', detail)
      check(response.status !== 404 || path === unknownRoutePath, 'a refusal belongs to another request', detail)
      check(path !== unknownRoutePath || response.status === 404, 'a request without a route was not refused', detail)
      check(response.status !== 200 || countRuns(ids[index]!) > 0, 'a success without a run', detail)
      check(response.status !== 503 || path !== '/unsafe/x' || countRuns(ids[index]!) === 0, 'an unsafe request that ran was refused as not run', detail)
    }
    for (const [index, { path }] of messages.entries()) {
      check(path !== '/unsafe/x' || countRuns(ids[index]!) <= 1, 'an unsafe request ran twice', { index, messages })
      check(closingIndex < 0 || index <= closingIndex || countRuns(ids[index]!) === 0, 'a request behind a closing response ran', { index, messages })
    }
    const expectedCount = closingIndex < 0 ? messages.length : closingIndex + 1
    check(responses.length <= expectedCount, 'a response without a request', { responses, messages })
    check(!isClosed || closingIndex >= 0 || input.malformedTail || responses.length === messages.length, 'the connection was closed early', { responses, messages })
    check(responses.length === expectedCount && responses.every(response => response.isComplete), 'a request has no complete response', { responses, messages })
  }), { seed, numRuns: 120, interruptAfterTimeLimit: 60_000, markInterruptAsFailure: false })
  t.pass(`seed ${seed}`)
})

test('answers other connections at once while the first response of a pipeline is slow', async t => {
  await using site = await createTestSite()
  const { entry, targets } = await startSite(site)
  const slow = sendPipeline(entry, Array.from({ length: 3 }, () => ({ path: '/safe/x', isClosing: false })), {
    onSent: async () => {
      await waitUntil(() => targets.some(target => target.runs.length > 0))
    }
  })
  const other = await site.call(entry, { path: '/safe/y' })
  t.is(other.status, 200)
  t.is((await slow).responses.filter(response => response.status === 200).length, 3)
})

test('dispatches nothing behind the last response of a connection while it stops', async t => {
  await using site = await createTestSite()
  const { entry, targets } = await startSite(site)
  for (const target of targets) {
    target.runs.length = 0
    target.setProcessingMs(300)
  }
  const socket = connect(entry.settings.listen.callers)
  let text = ''
  socket.on('data', part => { text += part.toString('latin1') })
  const closed = once(socket, 'close')
  const ids = Array.from({ length: 4 }, () => randomUUID())
  const message = { path: '/safe/x', isClosing: false }
  socket.write(encodeRequest(message, ids[0]!))
  await waitUntil(() => targets.some(target => target.runs.length > 0))
  const stopped = entry.running.stop()
  socket.write(ids.slice(1).map(id => encodeRequest(message, id)).join(''))
  await closed
  const responses = parseResponses(text)
  t.deepEqual(responses.map(response => response.id), ids.slice(0, 2))
  t.true(responses.every(response => response.isComplete && response.status === 200))
  t.deepEqual(targets.flatMap(target => target.runs).map(run => run.attemptId).sort(), ids.slice(0, 2).sort())
  await stopped
})

test('cancels the pipelined requests of a caller that leaves', async t => {
  await using site = await createTestSite()
  const { entry, targets } = await startSite(site)
  for (const target of targets) {
    target.runs.length = 0
    target.setProcessingMs(1_000)
  }
  const socket = connect(entry.settings.listen.callers)
  const ids = Array.from({ length: 3 }, () => randomUUID())
  socket.write(ids.map(id => encodeRequest({ path: '/safe/x', isClosing: false }, id)).join(''))
  const listRuns = (): SiteTarget['runs'] => targets.flatMap(target => target.runs)
  t.true(await waitUntil(() => listRuns().length === 3))
  socket.destroy()
  t.true(await waitUntil(() => listRuns().every(run => run.isAborted)))
  await wait(50)
  t.is(listRuns().length, 3)
})
