import type { RegisteredTarget, ServingTarget } from '@bilberryworks/steering'
import type { ResponseFields } from '@bilberryworks/users-platform'
import type { EntryMetrics } from './entry_metrics.ts'
import type { EntryState } from './entry_state.ts'
import type { TargetReports } from './target_reports.ts'
import { PassThrough } from 'node:stream'
import { createTargetRegistry, isTargetCold, isTargetLeaving, recordNamedRate, recordTargetDispatch, recordTargetResult, TargetSignal } from '@bilberryworks/steering'
import test from 'ava'
import { createEntryLog } from './entry_log.ts'
import { createTargetReports } from './target_reports.ts'

const target: ServingTarget = { id: 't', service: 's', address: { host: '10.0.0.1', port: 1 }, failureDomain: 'a', slots: 3, leaving: false, coldLeftMs: 0, startedAtMs: 7 }

const response: ResponseFields = { attemptId: 'a', isNotRun: false, isSigned: true, isFromTarget: true, load: undefined, isLeaving: false, pauseMs: undefined, acceptedPerSecond: undefined, unreadableRate: undefined }
const exchange = { dispatchedAtMs: 0 }

interface Instance { entry: RegisteredTarget, reports: TargetReports }

function createInstance (getNowMs: () => number): Instance {
  const targets = createTargetRegistry()
  const entry = targets.register(target, { region: 'r', nowMs: 0 })
  const reports = createTargetReports({
    reportCold: () => undefined,
    state: { targets } as unknown as EntryState,
    metrics: { countTargetReport: () => undefined } as unknown as EntryMetrics,
    log: createEntryLog('entry', new PassThrough()),
    getNowMs
  })
  return { entry, reports }
}

test('learns from a peer that a target is leaving, unless it is another run', t => {
  const [told, other] = [createInstance(() => 0), createInstance(() => 0)]
  told.reports.handleResponse(told.entry, { ...response, isLeaving: true }, exchange)
  other.reports.handlePeerReports('told', { leaving: { t: 6, unknown: 7 }, rates: {}, claims: [] })
  t.false(isTargetLeaving(other.entry))
  other.reports.handlePeerReports('told', told.reports.listRecent())
  t.true(isTargetLeaving(other.entry))
  // Only what a target says to an instance itself is passed on, so that no news is passed on for ever.
  t.deepEqual(other.reports.listRecent(), { leaving: {}, rates: {}, claims: [] })
})

test('learns from a peer that a target has stopped naming a rate, unless the target named it a short time ago', t => {
  let nowMs = 0
  const [told, other] = [createInstance(() => nowMs), createInstance(() => nowMs)]
  const limited = { ...response, acceptedPerSecond: 1.2 }
  for (const { entry, reports } of [told, other]) reports.handleResponse(entry, limited, exchange)
  t.deepEqual([told, other].map(({ entry }) => entry.rate.perSecond), [1.2, 1.2])
  nowMs = 1_000
  for (let count = 0; count < 2; count++) told.reports.handleResponse(told.entry, response, { dispatchedAtMs: nowMs })
  t.is(told.entry.rate.perSecond, undefined)
  other.reports.handlePeerReports('told', told.reports.listRecent())
  t.is(other.entry.rate.perSecond, 1.2)
  recordNamedRate(told.entry.rate, 1.2, nowMs)
  nowMs = 6_000
  for (let count = 0; count < 2; count++) told.reports.handleResponse(told.entry, response, { dispatchedAtMs: nowMs })
  other.reports.handlePeerReports('told', told.reports.listRecent())
  t.is(other.entry.rate.perSecond, undefined)
})

test('learns from a peer that a target names a rate, and tells it of no earlier end', t => {
  let nowMs = 0
  const [told, other] = [createInstance(() => nowMs), createInstance(() => nowMs)]
  for (const { entry, reports } of [told, other]) reports.handleResponse(entry, { ...response, acceptedPerSecond: 1.2 }, exchange)
  nowMs = 1_000
  for (let count = 0; count < 2; count++) told.reports.handleResponse(told.entry, response, { dispatchedAtMs: nowMs })
  nowMs = 2_000
  other.reports.handleResponse(other.entry, { ...response, acceptedPerSecond: 0.5 }, { dispatchedAtMs: nowMs })
  told.reports.handlePeerReports('other', other.reports.listRecent())
  t.is(told.entry.rate.perSecond, 0.5)
  t.deepEqual(told.reports.listRecent().rates, {})
})

test('takes nothing from the response of another program at the address of a target', t => {
  const { entry, reports } = createInstance(() => 0)
  reports.handleResponse(entry, { ...response, isFromTarget: false, isLeaving: true, acceptedPerSecond: 1, load: { running: 3, waiting: 9, slots: 3 } }, exchange)
  t.false(isTargetLeaving(entry))
  t.is(entry.rate.perSecond, undefined)
  t.is(entry.othersBusy, 0)
})

test('keeps the rate of a target when a response names one that can not be read', t => {
  const { entry, reports } = createInstance(() => 0)
  reports.handleResponse(entry, { ...response, acceptedPerSecond: 2 }, exchange)
  for (let count = 0; count < 9; count++) reports.handleResponse(entry, { ...response, unreadableRate: 'few' }, exchange)
  t.is(entry.rate.perSecond, 2)
})

test('counts a target as cold whose end a peer has seen, unless it has responded since or is another run', t => {
  let nowMs = 1_000
  const [told, other, served] = [createInstance(() => nowMs), createInstance(() => nowMs), createInstance(() => nowMs)]
  told.reports.recordEnd(told.entry)
  t.true(told.reports.takeNews())
  nowMs = 1_300
  recordTargetDispatch(served.entry, nowMs)
  recordTargetResult(served.entry, TargetSignal.Answered, { nowMs, getRandom: () => 0.5, coldForMs: 3_000 })
  other.reports.handlePeerReports('told', { leaving: {}, rates: {}, claims: [], ended: { t: { startedAtMs: 6, ageMs: 0 } } })
  t.false(isTargetCold(other.entry, nowMs))
  for (const { reports } of [other, served]) reports.handlePeerReports('told', told.reports.listRecent())
  t.deepEqual([told, other, served].map(({ entry }) => isTargetCold(entry, nowMs)), [true, true, false])
  recordTargetDispatch(other.entry, nowMs)
  recordTargetResult(other.entry, TargetSignal.Answered, { nowMs, getRandom: () => 0.5, coldForMs: 3_000 })
  t.deepEqual([4_200, 4_400].map(atMs => isTargetCold(other.entry, atMs)), [true, false])
})

test('retains the claims of a number of peers, and no list that is far too long', t => {
  const { reports } = createInstance(() => 0)
  for (let name = 0; name < 5_000; name++) reports.handlePeerReports(`made-up-${name}`, { leaving: {}, rates: {}, claims: [] })
  t.is(Array.from({ length: 5_000 }, (_, name) => reports.mayClaim(`made-up-${name}`, 't')).filter(mayClaim => !mayClaim).length, 600)
  reports.handlePeerReports('made-up-4999', { leaving: {}, rates: {}, claims: Array.from({ length: 1_001 }, String) })
  t.true(reports.mayClaim('made-up-4999', 't'))
})
