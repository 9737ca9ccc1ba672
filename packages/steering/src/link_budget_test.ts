import test from 'ava'
import fc from 'fast-check'
import { createLinkBudget, LinkPurpose } from './link_budget.ts'

const link = { linkBitsPerSecond: 280_000_000, senders: 3 }
const shareBytes = link.linkBitsPerSecond / 8 / link.senders

test('sends no more than the share in any window of one second', t => {
  const attempts = fc.array(fc.record({
    waitMs: fc.oneof(fc.constant(0), fc.double({ min: 0, max: 400, noNaN: true })),
    bytes: fc.integer({ min: 1, max: 400_000 }),
    purpose: fc.constantFrom(...Object.values(LinkPurpose)),
    repeats: fc.integer({ min: 1, max: 40 })
  }), { minLength: 1, maxLength: 60 })
  fc.assert(fc.property(attempts, steps => {
    const budget = createLinkBudget(link)
    const sent: Array<{ atMs: number, bytes: number }> = []
    let nowMs = 0
    for (const step of steps) {
      nowMs += step.waitMs
      for (let repeat = 0; repeat < step.repeats; repeat++) {
        if (budget.take(step.bytes, step.purpose, nowMs) === 0) sent.push({ atMs: nowMs, bytes: step.bytes })
      }
    }
    return sent.every((first, index) => {
      const inWindow = sent.slice(index).filter(each => each.atMs < first.atMs + 1_000)
      return inWindow.reduce((sum, each) => sum + each.bytes, 0) <= shareBytes
    })
  }), { seed: 20260612, numRuns: 500 })
  t.pass()
})

test('sends nine tenths of the share when the sender waits as long as requested', t => {
  const budget = createLinkBudget(link)
  let nowMs = 0
  let sent = 0
  while (nowMs < 10_000) {
    const waitMs = budget.take(budget.maxChunkBytes, LinkPurpose.Upload, nowMs)
    if (waitMs === 0) sent += budget.maxChunkBytes
    else nowMs += waitMs + 1e-6
  }
  t.true(sent > 0.9 * shareBytes * 10 - 1e6 && sent < shareBytes * 10)
})

test('reserves part of the burst for requests and part for control', t => {
  const budget = createLinkBudget(link)
  for (const purpose of [LinkPurpose.Upload, LinkPurpose.Request, LinkPurpose.Control]) {
    t.is(budget.take(1_000, purpose, 0), 0)
    while (budget.take(1_000, purpose, 0) === 0);
  }
})
