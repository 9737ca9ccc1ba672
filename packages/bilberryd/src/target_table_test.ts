import type { TargetRecord } from '@bilberryworks/steering'
import { LifecycleState } from '@bilberryworks/steering'
import test from 'ava'
import { createLeavingTargetPoller } from './leaving_target_poller.ts'
import { createTargetTable } from './target_table.ts'
import { createClusterView } from './cluster_view.ts'

const { Live, Leaving } = LifecycleState

function createTarget (state = Live, address = 'a:1'): TargetRecord {
  return { target: 't', service: 'api', address, failureDomain: 'd', region: 'r', slots: 1, maxConnections: 1, state }
}

test('lists a target as leaving if any source does', t => {
  const cases: Array<[byDocument: boolean, listed: LifecycleState, said: boolean, state: LifecycleState]> = [
    [false, Live, false, Live], [true, Live, false, Leaving], [false, Leaving, false, Leaving], [false, Live, true, Leaving]
  ]
  for (const [byDocument, listed, said, state] of cases) {
    const table = createTargetTable({ isLeavingByDocument: () => byDocument, getNowMs: () => 0 })
    table.mergeList([createTarget(listed)], 0)
    table.recordSelfReport('t', said)
    t.is(table.list('api')[0]?.state, state)
  }
})

test('keeps a target leaving after a delayed, outdated or empty list', t => {
  let nowMs = 0
  const table = createTargetTable({ isLeavingByDocument: () => false, getNowMs: () => nowMs })
  const getState = (): LifecycleState | undefined => table.list()[0]?.state
  table.mergeList([createTarget(Leaving)], 0)
  nowMs = 1_000
  table.mergeList([createTarget(Live)], 2_000)
  t.is(getState(), Leaving)
  table.mergeList([createTarget(Live)], 0)
  t.is(getState(), Leaving)
  table.mergeList([], 0)
  t.is(table.list().length, 1)
  nowMs = 9_999
  t.is(getState(), Leaving)
  nowMs = 10_000
  t.is(getState(), Live)
  table.mergeList([createTarget(Live, 'a:0')], 9_500)
  t.is(table.list()[0]?.address, 'a:1')
})

test('ignores a self-report of a target at an earlier address', t => {
  const table = createTargetTable({ isLeavingByDocument: () => false, getNowMs: () => 0 })
  table.mergeList([createTarget()], 0)
  table.recordSelfReport('t', true)
  table.mergeList([createTarget(Live, 'a:2')], 0)
  t.is(table.list()[0]?.state, Live)
})

test('marks a leaving target live only after consecutive live self-reports', async t => {
  let nowMs = 0
  const reports: Array<boolean | undefined> = []
  const view = createClusterView({ instanceTimeoutMs: Infinity, getNowMs: () => nowMs })
  view.mergeInstance({ instance: 'i', incarnation: 'x', failureDomain: 'd', region: 'r', callerAddress: '', peerAddress: '', state: Live, sequence: 1, pinEpoch: 0 })
  view.mergeMachines({ instances: [], targets: [createTarget()] })
  view.markTargetLeaving('t')
  const pollLeavingTargets = createLeavingTargetPoller({
    instance: 'i',
    view,
    async readLoad () {
      const leaving = reports.shift()
      return leaving === undefined ? undefined : { busySlots: 0, slots: 1, leaving }
    },
    getNowMs: () => nowMs
  })
  const states: Array<LifecycleState | undefined> = []
  for (const report of [false, false, undefined, false, false, true, false, false, false]) {
    reports.push(report)
    await pollLeavingTargets()
    states.push(view.listTargets('api')[0]?.state)
    nowMs += 5_000
  }
  t.deepEqual(states, [...Array<LifecycleState>(8).fill(Leaving), Live])
})
