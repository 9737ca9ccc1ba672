import type { MemoryPlatform } from '@bilberryworks/platform'
import type { AcceptedDocument, RegionWeights, ShiftRow, WeightRamp } from '@bilberryworks/steering'
import type { ShiftLoop } from './shift_loop.ts'
import type { ClusterView } from './cluster_view.ts'
import { createMemoryPlatform, indexKey, MemoryFault, TableName } from '@bilberryworks/platform'
import { computeMovedShare, createShiftRow, MachineState, Objective, ShiftState, advanceWeights } from '@bilberryworks/steering'
import test from 'ava'
import fc from 'fast-check'
import { createPoller } from './poll_platform.ts'
import { createShiftLoop } from './shift_loop.ts'
import { createClusterView } from './cluster_view.ts'

const seed = Number(process.env['FC_SEED'] ?? 4)
const cap = 0.1
const stepMs = 1_000
const tolerance = 1e-9
const limits = { maxBodyBytes: 1, maxUploadBytes: 1, maxQueued: 1 }

function createAccepted (revision: number, regionWeights: RegionWeights): AcceptedDocument {
  const document = { service: 'api', ownerTeam: 'a', regionWeights, shiftCap: cap, shiftStepMs: stepMs, leavingTargets: [], classes: [], objective: Objective.Headroom, limits }
  return { revision, document, acceptedAtMs: 0, author: 'n', submissionId: String(revision) }
}

async function writeAccepted (platform: MemoryPlatform, accepted: AcceptedDocument): Promise<void> {
  const index = platform.getValue(TableName.Index, indexKey) as object | undefined
  const isFirst = accepted.revision === 1
  await platform.writeRows([
    { table: TableName.Documents, key: 'api', value: accepted },
    ...isFirst ? [{ table: TableName.Shifts, key: 'api', value: createShiftRow(accepted) }] : [],
    { table: TableName.Index, key: indexKey, value: { members: 0, ...isFirst ? { shifts: { api: 1 } } : {}, ...index, revisions: { api: accepted.revision } } }
  ])
}

interface Advancer { platform: MemoryPlatform, view: ClusterView, shifts: ShiftLoop, ramp: WeightRamp | undefined, poll: () => Promise<boolean>, hasCapacity: boolean, reachable: boolean }

/** Creates shift loops that share one platform and one clock, which each reads with its own offset. */
function createAdvancers (count: number, platform: MemoryPlatform, clock: { nowMs: number }): Advancer[] {
  return Array.from({ length: count }, (_, index) => {
    const client = createMemoryPlatform(platform.state)
    const getNowMs = (): number => clock.nowMs + index * 12_345
    const view = createClusterView({ instanceTimeoutMs: Infinity, getNowMs })
    for (let other = 0; other < count; other++) {
      view.mergeInstance({ instance: `i${other}`, incarnation: 'x', failureDomain: 'd', region: 'r', callerAddress: '', peerAddress: '', state: MachineState.Live, sequence: 1, pinEpoch: 0 })
    }
    const poll = createPoller({ view, platform: client, readInstances: async () => true, instancesIntervalMs: 0, getNowMs })
    const advancer: Advancer = { platform: client, view, ramp: undefined, hasCapacity: true, reachable: true } as Advancer
    advancer.poll = async () => {
      advancer.reachable = (await poll()).answered
      return advancer.reachable
    }
    advancer.shifts = createShiftLoop({ instance: `i${index}`, view, platform: client, hasCapacity: () => advancer.hasCapacity, isPlatformReachable: () => advancer.reachable, rankDelayMs: 0, getNowMs })
    return advancer
  })
}

function getRow (platform: MemoryPlatform): ShiftRow {
  return platform.getValue(TableName.Shifts, 'api') as ShiftRow
}

async function createStarted (count: number): Promise<{ platform: MemoryPlatform, clock: { nowMs: number }, advancers: Advancer[] }> {
  const platform = createMemoryPlatform()
  const clock = { nowMs: 0 }
  const advancers = createAdvancers(count, platform, clock)
  await writeAccepted(platform, createAccepted(1, { a: 1 }))
  await writeAccepted(platform, createAccepted(2, { b: 1 }))
  for (const advancer of advancers) {
    await advancer.poll()
    await advancer.shifts.advanceShifts()
  }
  return { platform, clock, advancers }
}

test('takes one step when two instances advance at the same time', async t => {
  const { platform, clock, advancers } = await createStarted(2)
  clock.nowMs += stepMs
  await Promise.all(advancers.map(async advancer => advancer.shifts.advanceShifts()))
  t.is(getRow(platform).step, 2)
  t.true(Math.abs(getRow(platform).weights['b']! - cap) < tolerance)
})

test('rejects the delayed step of an instance after others have advanced', async t => {
  const { platform, clock, advancers: [paused, other] } = await createStarted(2)
  clock.nowMs += stepMs
  paused!.platform.chooseFault = call => call.writes ? MemoryFault.Delayed : undefined
  await paused!.shifts.advanceShifts()
  await other!.shifts.advanceShifts()
  t.is(other!.shifts.getState('api'), ShiftState.StepRunning)
  clock.nowMs += stepMs
  await other!.shifts.advanceShifts()
  const row = getRow(platform)
  t.is(row.step, 3)
  paused!.platform.landDelayed()
  paused!.platform.chooseFault = () => undefined
  await paused!.shifts.advanceShifts()
  t.deepEqual(getRow(platform), row)
  t.is(paused!.shifts.getState('api'), ShiftState.StepRunning)
})

test('takes no step from an outdated document', async t => {
  const { platform, clock, advancers: [stale] } = await createStarted(1)
  await writeAccepted(platform, createAccepted(3, { a: 1 }))
  clock.nowMs += stepMs
  await stale!.shifts.advanceShifts()
  t.is(getRow(platform).step, 1)
})

test('takes no step without platform or capacity, and reports the reason', async t => {
  const { platform, clock, advancers: [advancer] } = await createStarted(1)
  clock.nowMs += 10 * stepMs
  advancer!.hasCapacity = false
  await advancer!.shifts.advanceShifts()
  t.is(advancer!.shifts.getState('api'), ShiftState.NoCapacity)
  advancer!.hasCapacity = true
  advancer!.platform.chooseFault = () => MemoryFault.Outage
  await advancer!.poll()
  await advancer!.shifts.advanceShifts()
  t.is(advancer!.shifts.getState('api'), ShiftState.PlatformOut)
  t.is(getRow(platform).step, 1)
})

test('moves neither the row nor the sum of instances by more than the cap within a step under random faults', async t => {
  const instance = fc.nat(2)
  const action = fc.oneof(
    { weight: 6, arbitrary: fc.record({ kind: fc.constant('wait'), instance, ms: fc.integer({ min: 1, max: 900 }) }) },
    { weight: 6, arbitrary: fc.record({ kind: fc.constantFrom('poll', 'advance', 'pollAll'), instance, ms: fc.nat() }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('cut', 'hold', 'lose', 'stale', 'heal', 'land', 'write'), instance, ms: fc.nat() }) }
  )
  let steps = 0
  await fc.assert(fc.asyncProperty(fc.array(action, { minLength: 20, maxLength: 120 }), async actions => {
    const { platform, clock, advancers } = await createStarted(3)
    const rowMoves: Array<{ atMs: number, share: number }> = []
    const sumMoves: Array<{ atMs: number, share: number }> = []
    let revision = 2
    let row = getRow(platform)
    advanceRamps(advancers, clock)
    for (const { kind, instance: index, ms } of actions) {
      const advancer = advancers[index]!
      switch (kind) {
        case 'wait': clock.nowMs += ms; break
        case 'poll': await advancer.poll(); break
        case 'pollAll': for (const each of advancers) { await each.poll(); await each.shifts.advanceShifts() } break
        case 'advance': await advancer.shifts.advanceShifts(); break
        case 'cut': advancer.platform.chooseFault = () => MemoryFault.Outage; break
        case 'hold': advancer.platform.chooseFault = call => call.writes ? MemoryFault.Delayed : undefined; break
        case 'lose': advancer.platform.chooseFault = call => call.writes ? MemoryFault.LostAnswer : undefined; break
        case 'stale': advancer.platform.chooseFault = call => call.writes ? undefined : MemoryFault.Stale; break
        case 'heal': advancer.platform.chooseFault = () => undefined; break
        case 'land': advancer.platform.landDelayed(); break
        default: await writeAccepted(platform, createAccepted(++revision, revision % 2 === 0 ? { b: 1 } : { a: 1, c: 2 }))
      }
      const nextRow = getRow(platform)
      rowMoves.push({ atMs: clock.nowMs, share: computeMovedShare(row.weights, nextRow.weights) })
      t.true(nextRow.step - row.step <= 1 && nextRow.step >= row.step)
      steps += nextRow.step - row.step
      row = nextRow
      sumMoves.push({ atMs: clock.nowMs, share: advanceRamps(advancers, clock) })
    }
    t.true(computeLargestWindowSum(rowMoves) <= cap + tolerance)
    t.true(computeLargestWindowSum(sumMoves) <= cap + tolerance)
  }), { seed, numRuns: 200 })
  t.true(steps > 200, `only ${steps} steps were taken`)
  t.log(`seed ${seed}, ${steps} steps`)
})

/** Advances the weights of each instance towards its known row; returns the share of callers moved, with equal traffic at each instance. */
function advanceRamps (advancers: Advancer[], clock: { nowMs: number }): number {
  let moved = 0
  for (const advancer of advancers) {
    const desired = advancer.view.getShift('api')?.weights ?? {}
    const before = advancer.ramp ?? { applied: desired, moves: [] }
    advancer.ramp = advanceWeights(before, desired, { cap, stepMs, nowMs: clock.nowMs })
    moved += computeMovedShare(before.applied, advancer.ramp.applied) / advancers.length
  }
  return moved
}

/** Returns the largest share that moves within the duration of one step. */
function computeLargestWindowSum (moves: Array<{ atMs: number, share: number }>): number {
  return Math.max(...moves.map(({ atMs }) => {
    return moves.filter(move => move.atMs > atMs - stepMs && move.atMs <= atMs).reduce((sum, move) => sum + move.share, 0)
  }))
}
