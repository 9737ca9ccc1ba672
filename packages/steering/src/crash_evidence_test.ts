import type { CrashEvidence, CrashReport } from './crash_evidence.ts'
import test from 'ava'
import { crashesToQuarantine, createCrashEvidence, evidenceLifetimeMs } from './crash_evidence.ts'
import { computeHash } from './rendezvous.ts'

const seed = 20261204

function createRandom (run: number): () => number {
  let draws = 0
  return () => computeHash(`${seed} ${run} ${draws++}`) / 2 ** 32
}

/** Records ends of targets; each end lists the fingerprints of the requests that were in flight. */
function recordCrashes (evidence: CrashEvidence, ends: string[][], nowMs = 0): void {
  for (const [index, fingerprints] of ends.entries()) for (const fingerprint of fingerprints) evidence.recordCrash(fingerprint, `run-${index}`, nowMs)
}

function listQuarantined (evidence: CrashEvidence, fingerprints: string[], nowMs = 0): string[] {
  return fingerprints.filter(fingerprint => evidence.findQuarantine(fingerprint, nowMs) !== undefined)
}

for (const [title, ends, expected] of [
  ['a request under which three targets ended', [['a'], ['a'], ['a']], ['a']],
  ['no request under which two targets ended', [['a'], ['a']], []],
  ['no request that was in flight beside one with more ends', [['a', 'b'], ['a', 'b'], ['a', 'b'], ['a']], ['a']],
  ['no request that was in flight beside several with more ends', [['a', 'b'], ['a', 'b'], ['a'], ['a'], ['c', 'b'], ['c'], ['c'], ['c']], ['a', 'c']],
  ['neither of two requests that were in flight at the same three ends', [['a', 'b'], ['a', 'b'], ['a', 'b']], []],
  ['both of two requests that were in flight at the same five ends', [['a', 'b'], ['a', 'b'], ['a', 'b'], ['a', 'b'], ['a', 'b']], ['a', 'b']],
  ['no different requests at targets that end at the same time', [['a', 'b', 'c'], ['d', 'e'], ['f', 'g', 'h']], []]
] as Array<[string, string[][], string[]]>) {
  test(`quarantines ${title}`, t => {
    const evidence = createCrashEvidence()
    recordCrashes(evidence, ends)
    t.deepEqual(listQuarantined(evidence, ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']), expected)
  })
}

test('clears a request by a response, also at a peer that hears of the ends later', t => {
  const [own, peer] = [createCrashEvidence(), createCrashEvidence()]
  recordCrashes(own, [['a'], ['a'], ['a']])
  const before = own.listRecent(0)
  own.recordResponse('a', 0)
  t.deepEqual(listQuarantined(own, ['a']), [])
  for (const report of [...own.listRecent(0), ...before]) peer.merge(report, 0)
  t.deepEqual(listQuarantined(peer, ['a']), [])
  peer.recordCrash('a', 'later', 0)
  t.true(peer.isSuspect('a'))
  t.deepEqual(listQuarantined(peer, ['a']), [])
})

test('forgets the ends of a request after a time, also those that were told with their age', t => {
  const [own, peer] = [createCrashEvidence(), createCrashEvidence()]
  recordCrashes(own, [['a'], ['a'], ['a']])
  for (const report of own.listWorst(1_000)) peer.merge(report, 50_000)
  t.is(own.findQuarantine('a', 1_000)?.remainingMs, evidenceLifetimeMs - 1_000)
  t.is(peer.findQuarantine('a', 50_000)?.remainingMs, evidenceLifetimeMs - 1_000)
  t.deepEqual(listQuarantined(own, ['a'], evidenceLifetimeMs), [])
  for (const evidence of [own, peer]) evidence.removeExpired(50_000 + evidenceLifetimeMs)
  t.true(own.isEmpty() && peer.isEmpty())
})

test('merges the ends that several instances saw in any order and repeatedly', t => {
  for (let run = 0; run < 200; run++) {
    const getRandom = createRandom(run)
    const instances = Array.from({ length: 5 }, createCrashEvidence)
    const reports: CrashReport[] = []
    for (let index = 0; index < 12; index++) {
      const instance = instances[Math.floor(getRandom() * instances.length)]!
      const fingerprint = ['a', 'b', 'c'][Math.floor(getRandom() * 3)]!
      if (getRandom() < 0.15) instance.recordResponse(fingerprint, 0)
      else instance.recordCrash(fingerprint, `run-${index}`, 0)
      reports.push(...instance.listRecent(0))
    }
    for (const instance of instances) for (const report of [...reports, ...reports].toSorted(() => getRandom() - 0.5)) instance.merge(report, 0)
    // Each of the others passes on all that it knows, as to an instance that has just started.
    const started = createCrashEvidence()
    for (const report of instances[0]!.listWorst(0)) started.merge(report, 0)
    const quarantined = [...instances, started].map(instance => listQuarantined(instance, ['a', 'b', 'c']).join())
    t.is(new Set(quarantined).size, 1, `run ${run}: ${quarantined.join(' | ')}`)
  }
})

test('limits the requests with evidence and keeps those with the most ends', t => {
  const evidence = createCrashEvidence()
  recordCrashes(evidence, [['a'], ['a'], ['a']])
  for (let index = 0; index < 2_000; index++) evidence.recordCrash(`other-${index}`, `end-${index % 50}`, 0)
  t.deepEqual(listQuarantined(evidence, ['a']), ['a'])
  t.true(evidence.listRecent(0).length <= 10)
  t.true(evidence.listWorst(0).some(report => report.fingerprint === 'a' && report.runs.length >= crashesToQuarantine))
})

test('quarantines no request that every caller sends while many targets end', t => {
  for (let run = 0; run < 100; run++) {
    const getRandom = createRandom(run)
    const evidence = createCrashEvidence()
    const common = Array.from({ length: 40 }, (_, index) => `r${index}`)
    const listServed = (): string[] => common.flatMap(fingerprint => Array.from({ length: 5 }, () => fingerprint)).filter(() => getRandom() < 0.9)
    // Each end takes up to six requests with it; until the next end, other targets serve most of five requests of each kind.
    for (let end = 0; end < 60; end++) {
      for (let lost = 0; lost < 6; lost++) evidence.recordCrash(common[Math.floor(getRandom() * common.length)]!, `run-${end}`, end)
      t.deepEqual(listQuarantined(evidence, common, end), [], `run ${run}`)
      for (const fingerprint of listServed()) evidence.recordResponse(fingerprint, end)
    }
  }
})
