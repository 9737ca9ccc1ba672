import type { IncomingMessage } from 'node:http'
import type { CollectedBody } from './collect_body.ts'
import { PassThrough } from 'node:stream'
import test from 'ava'
import { createBodySender } from './send_body.ts'

interface SentPart {
  text: string
  isLast: boolean
}

/** Starts to send a body whose rest is read from the returned stream; `write` returns what `mayWrite` does. */
function startSender ({ maxBytes = Infinity, declaredBytes, mayWrite = () => true }: { maxBytes?: number, declaredBytes?: number, mayWrite?: () => boolean } = {}) {
  const message = new PassThrough({ highWaterMark: 1_048_576 })
  const sent: SentPart[] = []
  const drains: Array<() => void> = []
  let tooLarge = 0
  const body = { parts: [], bytes: 0, isComplete: false, declaredBytes } as unknown as CollectedBody
  createBodySender(message as unknown as IncomingMessage, body, { runGuarded: work => work(), onConsumed: () => {}, onTooLarge: () => { tooLarge++ }, maxBytes })((part, isLast) => {
    sent.push({ text: part.toString(), isLast })
    return mayWrite()
  }, resume => drains.push(resume))
  return { message, sent, drains, countTooLarge: () => tooLarge }
}

async function waitTurn (): Promise<void> {
  await new Promise(resolve => setImmediate(() => setImmediate(resolve)))
}

test('parts of one byte that arrive together are sent as few chunks', async t => {
  const { message, sent } = startSender()
  for (let index = 0; index < 20_000; index++) message.write('x')
  message.end()
  await waitTurn()
  await waitTurn()
  t.true(sent.length <= 4, `${sent.length} writes`)
  t.deepEqual(sent.at(-1), { text: '0\r\n\r\n', isLast: true })
  t.is(sent.map(({ text }) => text).join('').replaceAll(/[0-9a-f]+\r\n|\r\n/g, ''), 'x'.repeat(20_000))
})

test('a small part is sent in the turn in which it arrives', async t => {
  const { message, sent } = startSender({ declaredBytes: 10 })
  message.write('x')
  await waitTurn()
  t.deepEqual(sent, [{ text: 'x', isLast: false }])
})

test('small and large parts are sent in order', async t => {
  const { message, sent } = startSender({ declaredBytes: 10_004 })
  for (const part of ['ab', 'y'.repeat(10_000), 'cd']) message.write(part)
  message.end()
  await waitTurn()
  t.deepEqual(sent.map(({ text }) => text), ['ab', 'y'.repeat(10_000), 'cd', ''])
})

test('a body is not read on until the target has read what was sent', async t => {
  let mayWrite = false
  const { message, sent, drains } = startSender({ declaredBytes: 2, mayWrite: () => mayWrite })
  message.write('a')
  await waitTurn()
  message.write('b')
  await waitTurn()
  t.deepEqual(sent.map(({ text }) => text), ['a'])
  mayWrite = true
  drains[0]!()
  await waitTurn()
  t.deepEqual(sent.map(({ text }) => text), ['a', 'b'])
})

test('parts beyond the largest body are not sent', async t => {
  const { message, sent, countTooLarge } = startSender({ declaredBytes: 10, maxBytes: 3 })
  for (let index = 0; index < 5; index++) message.write('x')
  await waitTurn()
  t.deepEqual(sent.map(({ text }) => text), ['xxx'])
  t.true(countTooLarge() >= 1)
})
