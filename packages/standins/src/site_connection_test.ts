import type { TargetRun } from './site_target.ts'
import type { TestSite } from './test_site.ts'
import { randomUUID } from 'node:crypto'
import { connect } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import fc from 'fast-check'
import { TargetFault } from './site_target.ts'
import { createTestSite, waitUntil, testSiteHost } from './test_site.ts'

const seed = 20261204
const maxPauseMs = 3

/** Framing of the body of a message. */
enum Framing {
  None = 'none',
  Length = 'length',
  Chunked = 'chunked'
}

/**
 * Malformed messages, which must never reach a target. With `hasEnd`, the end of the message is still unambiguous, so
 * that the instance may read the next message of the connection.
 */
const malformations: Array<[name: string, damage: (head: string, body: string) => string, hasEnd?: boolean]> = [
  ['Content-Length and Transfer-Encoding', (head, body) => `${head}Content-Length: ${body.length}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`],
  ['two Content-Length fields', (head, body) => `${head}Content-Length: 1\r\nContent-Length: ${body.length + 2}\r\n\r\n${body}`],
  ['a length that is not a number', (head, body) => `${head}Content-Length: +${body.length}\r\n\r\n${body}`],
  ['a list of lengths', (head, body) => `${head}Content-Length: ${body.length}, ${body.length}\r\n\r\n${body}`],
  ['an unknown transfer coding', (head, body) => `${head}Transfer-Encoding: xchunked\r\n\r\n${body}`],
  ['chunked coding that is not the last one', (head, body) => `${head}Transfer-Encoding: chunked, identity\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`],
  ['a bad chunk size', (head, body) => `${head}Transfer-Encoding: chunked\r\n\r\n0x${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`],
  ['a space before the colon', (head, body) => `${head}Content-Length : ${body.length}\r\n\r\n${body}`],
  ['a folded header field', (head, body) => `${head}X-Folded: a\r\n b\r\nContent-Length: ${body.length}\r\n\r\n${body}`],
  ['a NUL byte in a header field', head => `${head}X-Null: a\u0000b\r\n\r\n`],
  ['no X-Request-Id', (head, body) => `${head.replace(/X-Request-Id: .*\r\n/, '')}Content-Length: ${body.length}\r\n\r\n${body}`, true]
]

interface Message {
  isUnsafe: boolean
  framing: Framing
  bodyBytes: number
  malformationIndex: number | undefined
}

interface SentMessage extends Message {
  id: string
  bytes: string
}

const anyMessage = fc.record({
  isUnsafe: fc.boolean(),
  framing: fc.constantFrom(...Object.values(Framing)),
  bodyBytes: fc.integer({ min: 1, max: 300 }),
  malformationIndex: fc.option(fc.nat({ max: malformations.length - 1 }), { nil: undefined, freq: 4 })
})

const anyConnection = fc.record({
  messages: fc.array(anyMessage, { minLength: 1, maxLength: 5 }),
  splitOffsets: fc.array(fc.nat({ max: 2_000 }), { maxLength: 6 }),
  truncatedBytes: fc.option(fc.integer({ min: 1, max: 200 }), { nil: undefined, freq: 2 }),
  faults: fc.array(fc.constantFrom(...Object.values(TargetFault)), { maxLength: 4 })
})

function encodeMessage (message: Message): SentMessage {
  const id = randomUUID()
  const body = 'b'.repeat(message.bodyBytes)
  const kind = message.isUnsafe ? 'unsafe' : 'safe'
  const head = `${message.framing === Framing.None ? 'GET' : 'POST'} /${kind}/x HTTP/1.1\r\nHost: ${testSiteHost}\r\nX-Request-Id: ${id}\r\nX-Timeout-Ms: 1500\r\n`
  const bytes = {
    [Framing.None]: `${head}\r\n`,
    [Framing.Length]: `${head}Content-Length: ${body.length}\r\n\r\n${body}`,
    [Framing.Chunked]: `${head}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`
  }[message.framing]
  return { ...message, id, bytes: message.malformationIndex === undefined ? bytes : malformations[message.malformationIndex]![1](head, body) }
}

/**
 * Sends the parts of a byte string on one connection. With `isTruncated`, closes the connection right afterwards;
 * otherwise waits for the expected number of responses or the close. Returns the statuses received.
 */
async function sendParts (address: { host: string, port: number }, parts: string[], options: { expected: number, isTruncated: boolean }): Promise<number[]> {
  let received = ''
  const socket = connect({ ...address, noDelay: true })
  const readStatuses = (): number[] => [...received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => Number(status))
  const closed = new Promise<void>(resolve => socket.once('close', () => resolve()))
  socket.on('data', part => { received += part.toString('latin1') })
  socket.on('error', () => {})
  for (const part of parts) {
    socket.write(part, 'latin1')
    await wait(maxPauseMs)
  }
  if (!options.isTruncated) await Promise.race([closed, waitUntil(() => readStatuses().length >= options.expected)])
  await wait(maxPauseMs)
  socket.destroy()
  await closed
  return readStatuses()
}

function listParts (text: string, splitOffsets: number[]): string[] {
  const offsets = [...new Set([0, ...splitOffsets.filter(offset => offset < text.length), text.length])].sort((a, b) => a - b)
  return offsets.slice(1).map((end, index) => text.slice(offsets[index]!, end))
}

/** Time after the close of a caller's connection within which its request may still reach a target, in milliseconds: the bound of the platform's rule on callers that left. */
const maxRunAfterCloseMs = 500

interface TestSystem {
  site: TestSite
  entry: Awaited<ReturnType<TestSite['startEntry']>>
  targets: Array<Awaited<ReturnType<TestSite['openTarget']>>>
  /** Earlier valid requests by attempt: when their connection was closed, in milliseconds, and whether they may still run then. */
  earlier: Map<string, { closedAtMs: number, mayRun: boolean }>
}

async function checkConnection ({ entry, targets, earlier }: TestSystem, input: { messages: Message[], splitOffsets: number[], truncatedBytes: number | undefined, faults: TargetFault[] }): Promise<void> {
  const messages = input.messages.map(encodeMessage)
  const all = messages.map(message => message.bytes).join('')
  const text = input.truncatedBytes === undefined ? all : all.slice(0, -input.truncatedBytes)
  const lastParsedIndex = messages.findIndex(message => message.malformationIndex !== undefined && malformations[message.malformationIndex]![2] !== true)
  const parsedMessages = lastParsedIndex < 0 ? messages : messages.slice(0, lastParsedIndex + 1)
  for (const [index, fault] of input.faults.entries()) targets[index % targets.length]!.addFaults([fault])
  const statuses = await sendParts(entry.settings.listen.callers, listParts(text, input.splitOffsets), { expected: messages.length, isTruncated: input.truncatedBytes !== undefined })
  const connectionClosedAtMs = performance.now()
  // Requests of a connection that was closed early may still be in flight between the instance and a target.
  if (input.truncatedBytes !== undefined) await wait(10 * maxPauseMs)

  const runs = targets.flatMap(target => target.runs)
  const check = (holds: boolean, failure: string): void => {
    if (!holds) throw new Error(`${failure}: ${JSON.stringify({ statuses, messages, runs })}`)
  }
  const countRuns = (id: string): number => runs.filter(run => run.attemptId === id).length
  const validIds = new Set(parsedMessages.filter(message => message.malformationIndex === undefined).map(message => message.id))
  const isOfEarlierConnection = ({ attemptId, startedAtMs }: TargetRun): boolean => {
    const request = earlier.get(attemptId)
    return request?.mayRun === true && startedAtMs - request.closedAtMs <= maxRunAfterCloseMs
  }
  check(runs.every(run => validIds.has(run.attemptId) || isOfEarlierConnection(run)), 'a target received a request other than the valid ones that were sent')
  check(statuses.length <= parsedMessages.length, 'more responses than messages')
  for (const [index, message] of parsedMessages.entries()) {
    const { id } = message
    const status = statuses[index]
    if (validIds.has(id)) earlier.set(id, { closedAtMs: connectionClosedAtMs, mayRun: !message.isUnsafe || countRuns(id) === 0 })
    if (message.malformationIndex !== undefined) {
      check(status === undefined || (status >= 400 && status < 500), 'a malformed message was not refused with a status of 4xx')
      continue
    }
    check(!message.isUnsafe || countRuns(id) <= 1, 'an unsafe request ran twice')
    check(runs.every(run => run.attemptId !== id || run.bodyBytes === (message.framing === Framing.None ? 0 : message.bodyBytes)), 'a body reached a target with another length')
    check(status !== 200 || countRuns(id) > 0, 'status 200 in response to a request that did not run')
    check(status !== 503 || !message.isUnsafe || countRuns(id) === 0, 'status 503 in response to an unsafe request that ran')
  }
}

test('forwards only valid, complete requests and answers with true outcomes on arbitrary input', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const targets = [await site.openTarget('t1', { processingMs: 2 }), await site.openTarget('t2', { processingMs: 2 })]
  const entry = await site.startEntry(0)
  await waitUntil(async () => (await site.call(entry)).status === 200)
  const earlier: TestSystem['earlier'] = new Map()
  await fc.assert(fc.asyncProperty(anyConnection, async input => {
    for (const target of targets) target.runs.length = 0
    await checkConnection({ site, entry, targets, earlier }, input)
    for (const target of targets) target.dropFaults()
  }), { seed, numRuns: 150, includeErrorInReport: true, interruptAfterTimeLimit: 60_000, markInterruptAsFailure: false })
  t.true(await waitUntil(async () => (await site.call(entry)).status === 200), 'serves requests after all connections')
  t.log(`seed ${seed}`)
})
