import test from 'ava'
import { Readable } from 'node:stream'
import { setTimeout as wait } from 'node:timers/promises'
import { BodyTooLargeError, createBodyReader } from './body_reader.ts'
import { createByteCollector } from './byte_collector.ts'

const createReader = () => createBodyReader({ getNowMs: () => performance.now(), schedule: setTimeout })

for (const partBytes of [1, 7, 1_023, 1_024, 65_536, 200_000]) {
  test(`returns a body in parts of ${partBytes} bytes unchanged`, async t => {
    const bytes = Buffer.from(Array.from({ length: 300_000 }, (_, at) => at % 251))
    const body = Readable.from((function * () {
      for (let at = 0; at < 6_000 * partBytes && at < bytes.length; at += partBytes) yield bytes.subarray(at, at + partBytes)
    })())
    const read = await createReader().read(body, { maxBytes: bytes.length })
    t.deepEqual(read, bytes.subarray(0, Math.min(bytes.length, 6_000 * partBytes)))
  })
}

test('returns an empty body', async t => {
  t.is((await createReader().read(Readable.from([]), { maxBytes: 1 })).length, 0)
})

test('a collector joins parts of one byte', t => {
  const collector = createByteCollector()
  const part = Buffer.from('x')
  for (let bytes = 0; bytes < 1_000_000; bytes++) collector.append(part)
  t.is(collector.count(), 1_000_000)
  t.is(collector.take().toString(), 'x'.repeat(1_000_000))
  t.is(collector.count(), 0)
})

test('closes a body beyond its bound', async t => {
  const body = Readable.from((function * () { for (;;) yield Buffer.alloc(1_000) })())
  await t.throwsAsync(createReader().read(body, { maxBytes: 10_000 }), { instanceOf: BodyTooLargeError, message: 'Body exceeds 10000 bytes' })
  t.true(body.destroyed)
})

test('reads a body beyond its bound to its end if that is near', async t => {
  let hasEnded = false
  const body = Readable.from((function * () {
    for (let part = 0; part < 15; part++) yield Buffer.alloc(1_000)
    hasEnded = true
  })())
  await t.throwsAsync(createReader().read(body, { maxBytes: 10_000, maxDiscardedBytes: 20_000 }), { instanceOf: BodyTooLargeError })
  t.true(hasEnded)
})

test('discards a body, and closes one beyond its bound', async t => {
  const body = Readable.from([Buffer.alloc(1_000)])
  await createReader().discard(body, 1_000)
  t.true(body.readableEnded)
  const longBody = Readable.from([Buffer.alloc(1_000), Buffer.alloc(1_000)])
  await createReader().discard(longBody, 1_000)
  t.false(longBody.readableEnded)
})

test('fails if a body is destroyed before its end', async t => {
  const body = new Readable({ read () {} })
  const reading = createReader().read(body, { maxBytes: 1 })
  body.destroy()
  await t.throwsAsync(reading, { message: 'Body is truncated' })
})

test('pauses a body in parts of one byte', async t => {
  let parts = 0
  const body = new Readable({
    read () {
      parts++
      this.push('x')
    }
  })
  const reading = createReader().read(body, { maxBytes: 100_000_000 })
  const startedAtMs = performance.now()
  await wait(500)
  const elapsedMs = performance.now() - startedAtMs
  body.destroy()
  await t.throwsAsync(reading)
  t.true(parts < 4_096 + 64 + 120 * elapsedMs + body.readableHighWaterMark, `${parts} parts in ${elapsedMs} ms`)
})
