import type { MemoryPlatform } from '@bilberryworks/platform'
import type { AcceptedDocument, RegionWeights, ShiftRow, WeightRamp } from '@bilberryworks/steering'
import type { ShiftLoop } from './shift_loop.ts'
import type { ClusterView } from './cluster_view.ts'
import { createMemoryPlatform, indexKey, MemoryFault, TableName } from '@bilberryworks/platform'
import { computeMovedShare, createShiftRow, LifecycleState, Objective, ShiftState, advanceWeights } from '@bilberryworks/steering'
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

interface Node { platform: MemoryPlatform, view: ClusterView, shifts: ShiftLoop, ramp: WeightRamp | undefined, poll: () => Promise<boolean>, hasCapacity: boolean, reachable: boolean }

/** Creates shift loops that share one platform and one clock, which each reads with its own offset. */
function createNodes (count: number, platform: MemoryPlatform, clock: { nowMs: number }): Node[] {
  return Array.from({ length: count }, (_, index) => {
    const client = createMemoryPlatform(platform.state)
    const getNowMs = (): number => clock.nowMs + index * 12_345
    const view = createClusterView({ instanceTimeoutMs: Infinity, getNowMs })
    for (let other = 0; other < count; other++) {
      view.mergeInstance({ instance: `i${other}`, incarnation: 'x', failureDomain: 'd', region: 'r', callerAddress: '', peerAddress: '', state: LifecycleState.Live, sequence: 1, pinEpoch: 0 })
    }
    const poll = createPoller({ view, platform: client, readInstances: async () => true, instancesIntervalMs: 0, getNowMs })
    const node: Node = { platform: client, view, ramp: undefined, hasCapacity: true, reachable: true } as Node
    node.poll = async () => {
      node.reachable = (await poll()).isIndexRead
      return node.reachable
    }
    node.shifts = createShiftLoop({ instance: `i${index}`, view, platform: client, hasCapacity: () => node.hasCapacity, isPlatformReachable: () => node.reachable, rankDelayMs: 0, getNowMs })
    return node
  })
}

function getRow (platform: MemoryPlatform): ShiftRow {
  return platform.getValue(TableName.Shifts, 'api') as ShiftRow
}

async function createCluster (count: number): Promise<{ platform: MemoryPlatform, clock: { nowMs: number }, nodes: Node[] }> {
  const platform = createMemoryPlatform()
  const clock = { nowMs: 0 }
  const nodes = createNodes(count, platform, clock)
  await writeAccepted(platform, createAccepted(1, { a: 1 }))
  await writeAccepted(platform, createAccepted(2, { b: 1 }))
  for (const node of nodes) {
    await node.poll()
    await node.shifts.advanceShifts()
  }
  return { platform, clock, nodes }
}

test('takes one step when two instances advance at the same time', async t => {
  const { platform, clock, nodes } = await createCluster(2)
  clock.nowMs += stepMs
  await Promise.all(nodes.map(async node => node.shifts.advanceShifts()))
  t.is(getRow(platform).step, 2)
  t.true(Math.abs(getRow(platform).weights['b']! - cap) < tolerance)
})

test('rejects the delayed step of an instance after other instances have advanced', async t => {
  const { platform, clock, nodes: [paused, other] } = await createCluster(2)
  clock.nowMs += stepMs
  paused!.platform.chooseFault = call => call.writes ? MemoryFault.Delayed : undefined
  await paused!.shifts.advanceShifts()
  await other!.shifts.advanceShifts()
  t.is(other!.shifts.getState('api'), ShiftState.StepRunning)
  clock.nowMs += stepMs
  await other!.shifts.advanceShifts()
  const row = getRow(platform)
  t.is(row.step, 3)
  paused!.platform.applyDelayedWrites()
  paused!.platform.chooseFault = () => undefined
  await paused!.shifts.advanceShifts()
  t.deepEqual(getRow(platform), row)
  t.is(paused!.shifts.getState('api'), ShiftState.StepRunning)
})

test('takes no step from an outdated document', async t => {
  const { platform, clock, nodes: [stale] } = await createCluster(1)
  await writeAccepted(platform, createAccepted(3, { a: 1 }))
  clock.nowMs += stepMs
  await stale!.shifts.advanceShifts()
  t.is(getRow(platform).step, 1)
})

test('takes no step without platform or capacity, and reports the reason', async t => {
  const { platform, clock, nodes: [node] } = await createCluster(1)
  clock.nowMs += 10 * stepMs
  node!.hasCapacity = false
  await node!.shifts.advanceShifts()
  t.is(node!.shifts.getState('api'), ShiftState.NoCapacity)
  node!.hasCapacity = true
  node!.platform.chooseFault = () => MemoryFault.Outage
  await node!.poll()
  await node!.shifts.advanceShifts()
  t.is(node!.shifts.getState('api'), ShiftState.PlatformOut)
  t.is(getRow(platform).step, 1)
})

test('moves the row and the sum of instances by at most the cap per step under random faults', async t => {
  const instance = fc.nat(2)
  const action = fc.oneof(
    { weight: 6, arbitrary: fc.record({ kind: fc.constant('wait'), instance, ms: fc.integer({ min: 1, max: 900 }) }) },
    { weight: 6, arbitrary: fc.record({ kind: fc.constantFrom('poll', 'advance', 'pollAll'), instance, ms: fc.nat() }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('cut', 'hold', 'lose', 'stale', 'heal', 'land', 'write'), instance, ms: fc.nat() }) }
  )
  let steps = 0
  await fc.assert(fc.asyncProperty(fc.array(action, { minLength: 20, maxLength: 120 }), async actions => {
    const { platform, clock, nodes } = await createCluster(3)
    const rowMoves: Array<{ atMs: number, share: number }> = []
    const sumMoves: Array<{ atMs: number, share: number }> = []
    let revision = 2
    let row = getRow(platform)
    advanceRamps(nodes, clock)
    for (const { kind, instance: index, ms } of actions) {
      const node = nodes[index]!
      switch (kind) {
        case 'wait': clock.nowMs += ms; break
        case 'poll': await node.poll(); break
        case 'pollAll': for (const each of nodes) { await each.poll(); await each.shifts.advanceShifts() } break
        case 'advance': await node.shifts.advanceShifts(); break
        case 'cut': node.platform.chooseFault = () => MemoryFault.Outage; break
        case 'hold': node.platform.chooseFault = call => call.writes ? MemoryFault.Delayed : undefined; break
        case 'lose': node.platform.chooseFault = call => call.writes ? MemoryFault.LostResponse : undefined; break
        case 'stale': node.platform.chooseFault = call => call.writes ? undefined : MemoryFault.Stale; break
        case 'heal': node.platform.chooseFault = () => undefined; break
        case 'land': node.platform.applyDelayedWrites(); break
        default: await writeAccepted(platform, createAccepted(++revision, revision % 2 === 0 ? { b: 1 } : { a: 1, c: 2 }))
      }
      const nextRow = getRow(platform)
      rowMoves.push({ atMs: clock.nowMs, share: computeMovedShare(row.weights, nextRow.weights) })
      t.true(nextRow.step - row.step <= 1 && nextRow.step >= row.step)
      steps += nextRow.step - row.step
      row = nextRow
      sumMoves.push({ atMs: clock.nowMs, share: advanceRamps(nodes, clock) })
    }
    t.true(computeLargestWindowSum(rowMoves) <= cap + tolerance)
    t.true(computeLargestWindowSum(sumMoves) <= cap + tolerance)
  }), { seed, numRuns: 200 })
  t.true(steps > 200, `only ${steps} steps were taken`)
  t.log(`seed ${seed}, ${steps} steps`)
})

/** Advances the weights of each instance towards its known row; returns the share of callers moved, with equal traffic at each instance. */
function advanceRamps (nodes: Node[], clock: { nowMs: number }): number {
  let moved = 0
  for (const node of nodes) {
    const desired = node.view.getShift('api')?.weights ?? {}
    const before = node.ramp ?? { applied: desired, moves: [] }
    node.ramp = advanceWeights(before, desired, { cap, stepMs, nowMs: clock.nowMs })
    moved += computeMovedShare(before.applied, node.ramp.applied) / nodes.length
  }
  return moved
}

/** Returns the largest share that moves within the duration of one step. */
function computeLargestWindowSum (moves: Array<{ atMs: number, share: number }>): number {
  return Math.max(...moves.map(({ atMs }) => {
    return moves.filter(move => move.atMs > atMs - stepMs && move.atMs <= atMs).reduce((sum, move) => sum + move.share, 0)
  }))
}
