import type { IncomingMessage } from 'node:http'
import test from 'ava'
import { RefusalReason } from '@bilberryworks/steering'
import fc from 'fast-check'
import { parseRequest } from './parse_request.ts'

const seed = 20_240_908
const numRuns = 2_000
const signal = new AbortController().signal

function createMessage (url: string, fields: Record<string, string[]> = {}): IncomingMessage {
  const distinct: Record<string, string[]> = { host: ['x'], ...fields }
  const headers = Object.fromEntries(Object.entries(distinct).map(([name, values]) => [name, values.join(', ')]))
  return { url, method: 'GET', httpVersion: '1.1', headers, headersDistinct: distinct, socket: { remoteAddress: '127.0.0.1' } } as unknown as IncomingMessage
}

test('accepts no path that normalizes to a path outside of the service', t => {
  const segment = fc.oneof(fc.constantFrom('.', '..', '%2e', '%2E.', '%2f', '%', '%00', 'a', '', '\u00e9', '#', '?'), fc.string({ maxLength: 6 }))
  const url = fc.array(segment, { maxLength: 6 }).map(segments => `/services/a/${segments.join('/')}`)
  t.log(`seed ${seed}`)
  fc.assert(fc.property(url, text => {
    const parsed = parseRequest(createMessage(text), { isFromPeer: false, signal })
    if (parsed.isErr()) return
    const { service, path } = parsed.value
    t.is(`/services/${service}${path}`, text)
    t.true(new URL(`http://target${path}`).pathname === path.split('?')[0], `normalized to another path: ${path}`)
  }), { seed, numRuns })
})

test('accepts only printable idempotency keys and decimal deadlines, and ignores a caller\'s hop count', t => {
  const deadline = fc.oneof(fc.string({ maxLength: 9 }), fc.nat().map(String), fc.constantFrom('', ' 1', '1e3', '0x10', '-1', '1, 2'))
  t.log(`seed ${seed}`)
  fc.assert(fc.property(fc.string({ unit: 'binary-ascii' }), deadline, (key, text) => {
    const message = createMessage('/services/a/x', { 'idempotency-key': [key], 'bilberry-deadline-ms': [text], 'bilberry-hops': ['7'] })
    const parsed = parseRequest(message, { isFromPeer: false, signal })
    if (parsed.isErr()) return
    t.regex(parsed.value.idempotencyKey ?? '', /^[ -~]{1,255}$/)
    t.is(String(parsed.value.deadlineMs), text.replace(/^0+(?=\d)/, ''))
    t.is(parsed.value.hops, 0)
  }), { seed, numRuns })
})

const viaCases = [
  { name: 'no Via field', fields: {}, via: '1.1 bilberry-a' },
  { name: 'Via names another service', fields: { via: ['1.0 edge, 1.1 bilberry-b'] }, via: '1.0 edge, 1.1 bilberry-b, 1.1 bilberry-a' },
  { name: 'Via names the same service', fields: { via: ['1.1 bilberry-a, 1.1 edge'] }, via: undefined }
]

test('refuses a request that already passed through the same service', t => {
  for (const { name, fields, via } of viaCases) {
    const parsed = parseRequest(createMessage('/services/a/x', fields), { isFromPeer: false, signal })
    t.is(parsed.isOk() ? parsed.value.headers['via'] : undefined, via, name)
  }
})

test('refuses a forwarded request whose hop count is not 1', t => {
  for (const hops of ['0', '2', '-1', '1, 1', undefined]) {
    const parsed = parseRequest(createMessage('/services/a/x', hops === undefined ? {} : { 'bilberry-hops': [hops] }), { isFromPeer: true, signal })
    t.is(parsed.isErr() ? parsed.error.reason : undefined, RefusalReason.ForwardLoop, String(hops))
  }
})
