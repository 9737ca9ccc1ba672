import type { CheckListeningOptions, TargetPool } from '@bilberryworks/targets'
import type { EntryGauge } from 'bilberryd'
import { setTimeout as wait } from 'node:timers/promises'
import test from 'ava'
import { createLifeCycle } from '@bilberryworks/steering'
import { ConnectionEvent, ListeningState } from '@bilberryworks/targets'
import { createEntryComponents, createEntryMetrics, EntryGauge as Gauge, ReplicatedTable } from 'bilberryd'
import { createTargetRow } from './target_rows.ts'

const targetCount = 6
const service = 'svc'
const failureDomains = ['a-1', 'a-2']
const address = { host: '127.0.0.1', port: 9 }
const bounds = { stableMs: 4_000, drainMs: 2_500, graceMs: 6_000, configMs: 2_500, retryRatio: 0.2, retrySlack: 56, budgetWindowMs: 10_000, coldOver: 1.5, coldSlack: 5, maxLookUpTtlMs: 5_000 }
/** Number of connections after which the pool calls back no more, so that an endless series of them ends. */
const endlessConnections = 5_000
/** Connections without a request that may be tried in a second to each target, and by the instance before the event loop turns. */
const maxPerTargetAndSecond = 10
const maxPerTurn = 64
const observedMs = 1_000

enum FailureMoment {
  AtOnce = 'at once',
  NextTick = 'in the next tick'
}

/** Creates the parts of an instance whose connections fail when they are opened, all with the same event. */
function createInstance (event: ConnectionEvent, moment: FailureMoment, code?: string) {
  let opened = 0
  let openedInTurn = 0
  let maxInTurn = 0
  let report: (event: ConnectionEvent, targetId: string, code?: string) => void = () => {}
  function runLater<T> (run: () => T): Promise<T> {
    opened++
    if (openedInTurn++ === 0) setImmediate(() => { openedInTurn = 0 })
    maxInTurn = Math.max(maxInTurn, openedInTurn)
    if (opened > endlessConnections) return new Promise(() => {})
    if (moment === FailureMoment.AtOnce) return Promise.resolve(run())
    return new Promise(resolve => process.nextTick(() => resolve(run())))
  }
  const pool: TargetPool = {
    send: () => { throw new Error('No request is sent') },
    openIdle: ({ id }) => runLater(() => {
      report(event, id, code)
      return false
    }),
    hasIdle: () => false,
    closeIdle: () => {},
    closeExpired: () => {},
    count: () => 0,
    async [Symbol.asyncDispose] () {}
  }
  const components = createEntryComponents({
    settings: { instance: 'entry-0', failureDomain: 'a-1', region: 'a', listen: { callers: address, lookUps: address, readiness: address, peers: address }, heartbeatPort: 9, seeds: [], regions: new Map(failureDomains.map(each => [each, 'a'])), store: address, bounds },
    startedAtMs: 1,
    log: { info: () => {}, warn: () => {}, takeSample: () => false, countDropped: () => 0, countLost: () => 0 },
    metrics: createEntryMetrics({ readers: Object.fromEntries(Object.values(Gauge).map(gauge => [gauge, () => 0])) as Record<EntryGauge, () => number> }),
    createPool (onConnectionEvent) {
      report = onConnectionEvent
      return pool
    },
    peerPool: pool,
    checkListening: (_address: unknown, _options: CheckListeningOptions) => runLater(() => event === ConnectionEvent.RefusedLocally ? ListeningState.Unchecked : ListeningState.Unknown),
    relays: { isEnabled: true, maxRelayed: 256 },
    runAfterReads: run => run(),
    life: createLifeCycle({ graceMs: bounds.graceMs }),
    isOpen: () => true,
    onStateChange: () => {},
    sendNow: () => {},
    getNowMs: () => performance.now(),
    getRandom: Math.random
  })
  const config = { version: 'r1', routes: {}, services: { [service]: { health_path: '/health', max_conns: 33, cold_start: '0ms' } } }
  components.state.applyUpdate(ReplicatedTable.Operator, { asOf: 1, isSnapshot: true, changes: [{ key: 'config', text: JSON.stringify(config), version: 1 }] })
  components.state.applyUpdate(ReplicatedTable.Targets, {
    asOf: 2,
    isSnapshot: true,
    changes: Array.from({ length: targetCount }, (_, index) => ({ key: `t${index}`, text: JSON.stringify(createTargetRow({ service, address: `127.0.0.1:${index + 1}`, failureDomain: failureDomains[index % 2]!, slots: 3 })), version: 2 }))
  })
  return { components, report, countOpened: () => opened, getMaxInTurn: () => maxInTurn }
}

for (const moment of Object.values(FailureMoment)) {
  test(`connections that fail ${moment} are tried a limited number of times, and not before the event loop turns`, async t => {
    const { components, report, countOpened, getMaxInTurn } = createInstance(ConnectionEvent.ConnectFailed, moment)
    await using parts = components
    const entries = parts.state.targets.list(service)
    t.is(entries.length, targetCount)
    const endMs = performance.now() + observedMs
    while (performance.now() < endMs) {
      for (const { target } of entries) report(ConnectionEvent.ConnectFailed, target.id)
      await wait(20)
      // Connections that are open already go on carrying responses.
      for (const entry of entries) parts.reach.recordResponse(entry)
      parts.runMaintenance(performance.now())
    }
    t.true(getMaxInTurn() <= maxPerTurn, `${getMaxInTurn()} in a turn`)
    t.true(countOpened() <= targetCount * maxPerTargetAndSecond * observedMs / 1_000, `${countOpened()} connections`)
  })
}

for (const code of ['EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM', 'EADDRNOTAVAIL', 'EACCES', 'EPERM', 'EINVAL']) {
  test(`connections that this host refuses with ${code} are no evidence against targets or the path to them`, async t => {
    const { components, report, countOpened } = createInstance(ConnectionEvent.RefusedLocally, FailureMoment.NextTick, code)
    await using parts = components
    const entries = parts.state.targets.list(service)
    const describeReports = (): unknown => (({ unreached, crashReports, targetReports }) => ({ unreached, crashReports, targetReports }))(parts.getHeartbeat())
    const [before, reportsBefore] = [JSON.stringify(entries), describeReports()]
    for (let round = 0; round < 20; round++) {
      for (const { target } of entries) report(ConnectionEvent.RefusedLocally, target.id, code)
      await wait(10)
      parts.runMaintenance(performance.now())
    }
    t.is(JSON.stringify(entries), before)
    t.is(countOpened(), 0)
    t.deepEqual(entries.map(entry => [parts.reach.isReached(entry), parts.reach.isDoubtful(entry)]), entries.map(() => [true, false]))
    t.deepEqual(describeReports(), reportsBefore)
  })
}

test('a path that was in doubt before this host refused a check is checked again', async t => {
  const { components, report, countOpened } = createInstance(ConnectionEvent.RefusedLocally, FailureMoment.NextTick, 'EMFILE')
  await using parts = components
  report(ConnectionEvent.ConnectFailed, 't0')
  await wait(20)
  const opened = countOpened()
  await wait(600)
  parts.runMaintenance(performance.now())
  await wait(20)
  t.true(opened > 0 && countOpened() > opened, `${opened} and ${countOpened()} checks`)
  t.is(parts.reach.countLost(), 0)
})
