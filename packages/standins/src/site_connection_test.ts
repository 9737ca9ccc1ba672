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

/** How the body of a message is framed. */
enum Framing {
  None = 'none',
  Length = 'length',
  Chunked = 'chunked'
}

/** What is wrong with a message, so that no target may ever see it; whether its end is clear all the same, so that the next may follow. */
const malformations: Array<[name: string, damage: (head: string, body: string) => string, hasEnd?: boolean]> = [
  ['both framings', (head, body) => `${head}Content-Length: ${body.length}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`],
  ['two lengths', (head, body) => `${head}Content-Length: 1\r\nContent-Length: ${body.length + 2}\r\n\r\n${body}`],
  ['a length that is no number', (head, body) => `${head}Content-Length: +${body.length}\r\n\r\n${body}`],
  ['a length with a list', (head, body) => `${head}Content-Length: ${body.length}, ${body.length}\r\n\r\n${body}`],
  ['an unknown coding', (head, body) => `${head}Transfer-Encoding: xchunked\r\n\r\n${body}`],
  ['chunked that is not last', (head, body) => `${head}Transfer-Encoding: chunked, identity\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`],
  ['a bad chunk size', (head, body) => `${head}Transfer-Encoding: chunked\r\n\r\n0x${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`],
  ['a space before the colon', (head, body) => `${head}Content-Length : ${body.length}\r\n\r\n${body}`],
  ['a folded field', (head, body) => `${head}X-Folded: a\r\n b\r\nContent-Length: ${body.length}\r\n\r\n${body}`],
  ['a null byte', head => `${head}X-Null: a\u0000b\r\n\r\n`],
  ['no identifier', (head, body) => `${head.replace(/X-Request-Id: .*\r\n/, '')}Content-Length: ${body.length}\r\n\r\n${body}`, true]
]

interface Message {
  isUnsafe: boolean
  framing: Framing
  bodyBytes: number
  damage: number | undefined
}

interface SentMessage extends Message {
  id: string
  bytes: string
}

const anyMessage = fc.record({
  isUnsafe: fc.boolean(),
  framing: fc.constantFrom(...Object.values(Framing)),
  bodyBytes: fc.integer({ min: 1, max: 300 }),
  damage: fc.option(fc.nat({ max: malformations.length - 1 }), { nil: undefined, freq: 4 })
})

const anyConnection = fc.record({
  messages: fc.array(anyMessage, { minLength: 1, maxLength: 5 }),
  cuts: fc.array(fc.nat({ max: 2_000 }), { maxLength: 6 }),
  lost: fc.option(fc.integer({ min: 1, max: 200 }), { nil: undefined, freq: 2 }),
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
  return { ...message, id, bytes: message.damage === undefined ? bytes : malformations[message.damage]![1](head, body) }
}

/** Sends bytes in parts on one connection, cuts it off or waits for its answers; returns their statuses. */
async function sendParts (address: { host: string, port: number }, parts: string[], options: { expected: number, isCut: boolean }): Promise<number[]> {
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
  if (!options.isCut) await Promise.race([closed, waitUntil(() => readStatuses().length >= options.expected)])
  await wait(maxPauseMs)
  socket.destroy()
  await closed
  return readStatuses()
}

function listParts (text: string, cuts: number[]): string[] {
  const offsets = [...new Set([0, ...cuts.filter(cut => cut < text.length), text.length])].sort((a, b) => a - b)
  return offsets.slice(1).map((end, index) => text.slice(offsets[index]!, end))
}

interface TestSystem {
  site: TestSite
  entry: Awaited<ReturnType<TestSite['startEntry']>>
  targets: Array<Awaited<ReturnType<TestSite['openTarget']>>>
}

async function checkConnection ({ entry, targets }: TestSystem, input: { messages: Message[], cuts: number[], lost: number | undefined, faults: TargetFault[] }): Promise<void> {
  const messages = input.messages.map(encodeMessage)
  const all = messages.map(message => message.bytes).join('')
  const text = input.lost === undefined ? all : all.slice(0, -input.lost)
  const lastParsedIndex = messages.findIndex(message => message.damage !== undefined && malformations[message.damage]![2] !== true)
  const parsedMessages = lastParsedIndex < 0 ? messages : messages.slice(0, lastParsedIndex + 1)
  for (const [index, fault] of input.faults.entries()) targets[index % targets.length]!.addFaults([fault])
  const statuses = await sendParts(entry.settings.listen.callers, listParts(text, input.cuts), { expected: messages.length, isCut: input.lost !== undefined })
  // What was cut off may still be on its way through the instance.
  if (input.lost !== undefined) await wait(10 * maxPauseMs)

  const runs = targets.flatMap(target => target.runs)
  const check = (holds: boolean, failure: string): void => {
    if (!holds) throw new Error(`${failure}: ${JSON.stringify({ statuses, messages, runs })}`)
  }
  const countRuns = (id: string): number => runs.filter(run => run.attemptId === id).length
  const validIds = new Set(parsedMessages.filter(message => message.damage === undefined).map(message => message.id))
  check(runs.every(run => validIds.has(run.attemptId)), 'a target saw what nobody sent soundly')
  check(statuses.length <= parsedMessages.length, 'more answers than messages')
  for (const [index, message] of parsedMessages.entries()) {
    const { id } = message
    const status = statuses[index]
    if (message.damage !== undefined) {
      check(status === undefined || (status >= 400 && status < 500), 'a damaged message was not refused')
      continue
    }
    check(!message.isUnsafe || countRuns(id) <= 1, 'an unsafe request ran twice')
    check(runs.every(run => run.attemptId !== id || run.bodyBytes === (message.framing === Framing.None ? 0 : message.bodyBytes)), 'a body changed its length')
    check(status !== 200 || countRuns(id) > 0, 'an answer to a request that did not run')
    check(status !== 503 || !message.isUnsafe || countRuns(id) === 0, 'a refusal of a request that ran')
  }
}

test('any bytes on a connection: targets see sound requests only, whole, and each answer is true', async t => {
  await using site = await createTestSite()
  site.writeConfig()
  const targets = [await site.openTarget('t1', { processingMs: 2 }), await site.openTarget('t2', { processingMs: 2 })]
  const entry = await site.startEntry(0)
  await waitUntil(async () => (await site.call(entry)).status === 200)
  await fc.assert(fc.asyncProperty(anyConnection, async input => {
    for (const target of targets) target.runs.length = 0
    await checkConnection({ site, entry, targets }, input)
    for (const target of targets) target.dropFaults()
  }), { seed, numRuns: 150, interruptAfterTimeLimit: 60_000, markInterruptAsFailure: false })
  t.true(await waitUntil(async () => (await site.call(entry)).status === 200), 'serves on')
  t.log(`seed ${seed}`)
})
