import type { Attempt } from './attempt.ts'
import test from 'ava'
import { getFingerprint } from './request_fingerprint.ts'

interface RequestParts { method?: string, host?: string, url?: string, authorization?: string, objectKey?: string, parts?: string[], declaredBytes?: number }

let createdAttempts = 0

/** Creates an attempt with an identifier and a header field that no other attempt has. */
function createAttempt ({ method = 'POST', host = 'h', url = '/a?b=1', authorization, objectKey = '7', parts, declaredBytes }: RequestParts): Attempt {
  const chunks = parts?.map(part => Buffer.from(part))
  const body = chunks === undefined ? undefined : { parts: chunks, bytes: Buffer.concat(chunks).length, isComplete: declaredBytes === undefined, declaredBytes }
  return { attemptId: `attempt-${createdAttempts++}`, message: { method, url, headers: { host, authorization, via: String(createdAttempts) } }, objectKey, body, fingerprint: undefined } as unknown as Attempt
}

test('gives repeats of a request the same fingerprint, however their body is divided into chunks', t => {
  const first = getFingerprint(createAttempt({ parts: ['one', 'two'] }))
  t.is(getFingerprint(createAttempt({ parts: ['onetwo'] })), first)
  t.is(getFingerprint(createAttempt({ parts: ['onetw', 'o'] })), first)
  t.regex(first, /^[\w-]{16}$/)
})

test('gives requests with another method, host, path, query, caller, object or body another fingerprint', t => {
  const requests: RequestParts[] = [
    {}, { method: 'PUT' }, { host: 'i' }, { url: '/a?b=2' }, { url: '/A?b=1' }, { authorization: 'Bearer x' }, { objectKey: '8' },
    { parts: [] }, { parts: ['x'] }, { parts: ['y'] }, { parts: ['x'.repeat(20_000)] }, { parts: ['x'.repeat(20_001)] }, { parts: ['x'.repeat(300_000)], declaredBytes: 400_000 }, { parts: ['x'.repeat(300_000)], declaredBytes: 500_000 }
  ]
  t.is(new Set(requests.map(request => getFingerprint(createAttempt(request)))).size, requests.length)
})
