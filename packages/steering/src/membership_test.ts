import type { TargetSelfReport } from './target_self_reports.ts'
import test from 'ava'
import fc from 'fast-check'
import { checkOwnName, compareAnnouncements, OwnNameDecision } from './membership.ts'
import { mergeTargetSelfReports, recordTargetSelfReport } from './target_self_reports.ts'

const seed = Number(process.env['FC_SEED'] ?? 4)
const announcement = fc.record({ incarnation: fc.constantFrom('x', 'y', 'z'), start: fc.nat(2), sequence: fc.nat(2) })

test('orders announcements totally', t => {
  fc.assert(fc.property(announcement, announcement, announcement, (a, b, c) => {
    t.is(Math.sign(compareAnnouncements(a, b)) + Math.sign(compareAnnouncements(b, a)), 0)
    if (compareAnnouncements(a, b) > 0 && compareAnnouncements(b, c) > 0) t.true(compareAnnouncements(a, c) > 0)
  }), { seed })
})

test('decides whether to ignore, outrank or yield to an announcement under its own name', t => {
  const own = { incarnation: 'x', start: 2, sequence: 1 }
  const cases: Array<[seen: { incarnation: string, start: number, sequence: number }, confirmed: boolean, decision: OwnNameDecision]> = [
    [{ ...own, start: 9 }, true, OwnNameDecision.Ignore],
    [{ incarnation: 'y', start: 1, sequence: 9 }, true, OwnNameDecision.Ignore],
    [{ incarnation: 'y', start: 3, sequence: 0 }, false, OwnNameDecision.RaiseStart],
    [{ incarnation: 'y', start: 3, sequence: 0 }, true, OwnNameDecision.Superseded]
  ]
  for (const [seen, confirmed, decision] of cases) t.is(checkOwnName({ ...own, isConfirmed: confirmed }, seen), decision)
})

test('merges self-reports to the same result in any order', t => {
  const report: fc.Arbitrary<TargetSelfReport> = fc.record({ target: fc.constant('t'), address: fc.constant('a'), count: fc.nat(3), leaving: fc.boolean() })
  fc.assert(fc.property(fc.array(report, { minLength: 1 }), reports => {
    const merge = (list: TargetSelfReport[]): TargetSelfReport | undefined => list.reduce<TargetSelfReport | undefined>(mergeTargetSelfReports, undefined)
    t.deepEqual(merge(reports), merge([...reports].reverse()))
  }), { seed })
})

test('counts only changes of a self-report, and ignores "not leaving" from another address', t => {
  const leaving = recordTargetSelfReport(undefined, { target: 't', address: 'a', leaving: true })
  t.deepEqual(leaving, { target: 't', address: 'a', leaving: true, count: 1 })
  t.is(recordTargetSelfReport(leaving, { target: 't', address: 'a', leaving: true }), leaving)
  t.is(recordTargetSelfReport(leaving, { target: 't', address: 'b', leaving: false }), leaving)
  t.is(recordTargetSelfReport(leaving, { target: 't', address: 'a', leaving: false })?.count, 2)
})
