import type { LinkTransfer } from './link_rate_limiter.ts'
import test from 'ava'
import { LinkPurpose, RefusalReason } from '@bilberryworks/steering'
import { Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import { createLinkRateLimiter } from './link_rate_limiter.ts'

const linkBitsPerSecond = 8_000_000
const instanceBytesPerSecond = linkBitsPerSecond / 8 / 2
const transfer: LinkTransfer = { bytes: 1_000, purpose: LinkPurpose.Request, deadlineAtMs: 1_000 }

const createRateLimiter = (getNowMs: () => number): ReturnType<typeof createLinkRateLimiter> => {
  const getLinkBitsPerSecond = (region: string): number | undefined => region === 'unlimited' ? undefined : linkBitsPerSecond
  return createLinkRateLimiter({ localRegion: 'here', getLinkBitsPerSecond, countSenders: () => 2, getNowMs })
}

const cases: Array<[string, string, Partial<LinkTransfer>, boolean]> = [
  ['admits a body that can be sent before its deadline', 'there', {}, true],
  ['refuses a body that can\'t be sent before its deadline', 'there', { bytes: instanceBytesPerSecond }, false],
  ['admits any body within the instance\'s region', 'here', { bytes: 1e12 }, true],
  ['admits any body on an unlimited link', 'unlimited', { bytes: 1e12 }, true],
  ['admits a body of unknown length', 'there', { bytes: undefined }, true]
]
for (const [name, region, options, admitted] of cases) {
  test(`transfer admission: ${name}`, t => {
    const result = createRateLimiter(() => 0).admitTransfer(region, { ...transfer, ...options })
    t.is(result.isOk(), admitted)
    if (result.isErr()) t.is(result.error.reason, RefusalReason.LinkBudget)
  })
}

test('counts the bytes of an admitted transfer until it is sent or destroyed', t => {
  const rateLimiter = createRateLimiter(() => 0)
  const large = { ...transfer, bytes: 0.8 * instanceBytesPerSecond }
  const first = rateLimiter.admitTransfer('there', large)._unsafeUnwrap()
  t.is(rateLimiter.admitTransfer('there', large)._unsafeUnwrapErr().retryAfterMs, 889)
  first.destroy()
  return new Promise<void>(resolve => first.once('close', () => {
    t.true(rateLimiter.admitTransfer('there', large).isOk())
    resolve()
  }))
})

test('paces an upload and preserves its bytes', async t => {
  await using rateLimiter = createRateLimiter(() => performance.now())
  const body = Buffer.alloc(150_000, 'x')
  const pacingStream = rateLimiter.admitTransfer('there', { bytes: body.length, purpose: LinkPurpose.Upload, deadlineAtMs: Infinity })._unsafeUnwrap()
  const startedAtMs = performance.now()
  const received: Buffer[] = []
  await pipeline(Readable.from([body]), pacingStream, async source => {
    for await (const piece of source) received.push(piece as Buffer)
  })
  t.true(Buffer.concat(received).equals(body))
  const minDurationMs = (body.length - 0.1 * instanceBytesPerSecond) / (0.9 * instanceBytesPerSecond) * 1_000
  t.true(performance.now() - startedAtMs >= minDurationMs - 1)
  t.is(rateLimiter.getSentBytes('there'), body.length)
})
