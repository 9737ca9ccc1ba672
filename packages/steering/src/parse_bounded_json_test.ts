import test from 'ava'
import { parseBoundedJson } from './parse_bounded_json.ts'

const encode = (value: unknown): Buffer => Buffer.from(JSON.stringify(value))

test('parses JSON within its bound', t => {
  const value = { rows: [{ key: 'a,b', text: '\u00e9{[' }, { key: 'c' }], more: false }
  t.deepEqual(parseBoundedJson(encode(value), 10), value)
})

test('refuses many small values in little text', t => {
  t.throws(() => parseBoundedJson(encode(Array.from({ length: 1_001 }, () => [])), 1_000), { instanceOf: RangeError, message: 'JSON has 2002 values; the limit is 1000' })
  t.throws(() => parseBoundedJson(encode(Array.from({ length: 1_002 }, () => 0)), 1_000), { instanceOf: RangeError })
})

test('refuses what is not JSON', t => {
  t.throws(() => parseBoundedJson(Buffer.from('{'), 10), { instanceOf: SyntaxError })
})
