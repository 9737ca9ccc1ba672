import test from 'ava'
import fc from 'fast-check'
import { createBodyParts } from './body_parts.ts'

/** Returns the bytes of the buffers behind parts. */
function countHeldBytes (parts: Buffer[]): number {
  return [...new Set(parts.map(part => part.buffer))].reduce((sum, buffer) => sum + buffer.byteLength, 0)
}

test('a body that is received in parts of one byte is held in few buffers', t => {
  const parts = createBodyParts()
  for (let index = 0; index < 262_144; index++) parts.add(Buffer.from([index & 0xff]))
  const listed = parts.list()
  t.true(listed.length <= 32, String(listed.length))
  t.true(countHeldBytes(listed) <= 2 * 262_144 + 16_384, String(countHeldBytes(listed)))
})

test('a large part is not copied', t => {
  const parts = createBodyParts()
  const part = Buffer.alloc(65_536, 'x')
  parts.add(part)
  t.is(parts.list()[0], part)
})

test('the parts of a body are its bytes in order', t => {
  fc.assert(fc.property(fc.array(fc.oneof(fc.nat({ max: 3 }), fc.nat({ max: 1_100 }), fc.constant(16_384)), { maxLength: 200 }), sizes => {
    const parts = createBodyParts()
    const received = sizes.map((size, index) => Buffer.alloc(size, index))
    const bytes = Buffer.concat(received)
    for (const [index, part] of received.entries()) {
      parts.add(part)
      if (index % 7 === 0) parts.list()
    }
    t.deepEqual(Buffer.concat(parts.list()), bytes)
    t.true(parts.list().length <= sizes.length)
  }), { seed: 20261205 })
})
