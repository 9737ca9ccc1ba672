import type { TableWrite } from '@bilberryworks/platform'
import type { OwnershipRow } from '@bilberryworks/steering'
import test from 'ava'
import fc from 'fast-check'
import { TableName } from '@bilberryworks/platform'
import { LeaseState } from '@bilberryworks/steering'
import { CallFault, createHarness } from './_ownership_harness.ts'

const seed = Number(process.env['SEED'] ?? 20261203)

async function advanceRounds (harness: ReturnType<typeof createHarness>, rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round++) await harness.advance(500)
}

const action = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('advance' as const), ms: fc.integer({ min: 50, max: 3_000 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('pause' as const), node: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('resume' as const), node: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cutPlatform' as const), node: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('healPlatform' as const), node: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cut' as const), node: fc.nat(2), other: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('heal' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), node: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('land' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('faults' as const), pattern: fc.array(fc.constantFrom(...Object.values(CallFault)), { maxLength: 6 }) }) }
)

test('never exceeds the slots of a target under random faults', async t => {
  await fc.assert(fc.asyncProperty(fc.array(action, { minLength: 10, maxLength: 60 }), async actions => {
    const harness = createHarness()
    await advanceRounds(harness, 12)
    let faults: CallFault[] = []
    harness.chooseFault = () => faults.shift() ?? CallFault.None
    for (const step of actions) {
      switch (step.kind) {
        case 'advance': await harness.advance(step.ms); break
        case 'pause': harness.nodes[step.node]!.isPaused = true; break
        case 'resume': harness.nodes[step.node]!.isPaused = false; break
        case 'cutPlatform': harness.instancesWithoutPlatform.add(`n${step.node}`); break
        case 'healPlatform': harness.instancesWithoutPlatform.delete(`n${step.node}`); break
        case 'cut': harness.partitions.add(`n${step.node}|n${step.other}`); break
        case 'heal': harness.partitions.clear(); break
        case 'restart': harness.restart(step.node); break
        case 'land': harness.applyDelayedWrites(); break
        case 'faults': faults = [...step.pattern]; break
      }
      if (harness.findMaxOveruse() > 0) throw new Error(`${harness.findMaxOveruse()} slots in use beyond the slots of a target`)
    }
  }), { seed, numRuns: 400 })
  t.log(`seed ${seed}`)
  t.pass()
})

test('makes every slot usable again once random faults end', async t => {
  await fc.assert(fc.asyncProperty(fc.array(action, { maxLength: 40 }), async actions => {
    const harness = createHarness()
    await advanceRounds(harness, 12)
    let faults: CallFault[] = []
    harness.chooseFault = () => faults.shift() ?? CallFault.None
    for (const step of actions) {
      if (step.kind === 'advance') await harness.advance(step.ms)
      else if (step.kind === 'pause') harness.nodes[step.node]!.isPaused = true
      else if (step.kind === 'cutPlatform') harness.instancesWithoutPlatform.add(`n${step.node}`)
      else if (step.kind === 'restart') harness.restart(step.node)
      else if (step.kind === 'faults') faults = [...step.pattern]
    }
    harness.nodes.forEach(node => { node.isPaused = false })
    harness.instancesWithoutPlatform.clear()
    harness.applyDelayedWrites()
    faults = []
    await advanceRounds(harness, 120)
    for (const target of harness.targets) {
      if (harness.sumLimits(target) !== target.slots) throw new Error(`${target.target}: instances may use ${harness.sumLimits(target)} of ${target.slots} slots`)
    }
  }), { seed, numRuns: 100 })
  t.log(`seed ${seed}`)
  t.pass()
})

test('keeps every slot usable during a platform outage', async t => {
  const harness = createHarness()
  await advanceRounds(harness, 12)
  harness.nodes.forEach(node => harness.instancesWithoutPlatform.add(node.name))
  await advanceRounds(harness, 200)
  t.true(harness.targets.every(target => harness.sumLimits(target) === target.slots))
})

test('leaves the larger half of the slots to an owner without platform and peers', async t => {
  const harness = createHarness()
  await advanceRounds(harness, 12)
  harness.instancesWithoutPlatform.add('n2')
  harness.partitions.add('n0|n2').add('n1|n2')
  await advanceRounds(harness, 100)
  t.is(harness.nodes[2]!.ownership.getLeaseState(), LeaseState.CutOff)
  for (const target of harness.targets.filter(other => other.failureDomain === 'd1')) {
    t.is(harness.nodes[2]!.ownership.getSlotLimit(target), Math.ceil(target.slots / 2))
    t.is(harness.sumLimits(target), target.slots)
  }
})

test('grants no slot to an owner that resumes after a long pause', async t => {
  const harness = createHarness()
  await advanceRounds(harness, 12)
  harness.nodes[2]!.isPaused = true
  await advanceRounds(harness, 100)
  harness.nodes[2]!.isPaused = false
  t.true(harness.targets.every(target => harness.nodes[2]!.ownership.getSlotLimit(target) === 0))
  await advanceRounds(harness, 20)
  t.true(harness.targets.every(target => harness.sumLimits(target) === target.slots))
})

test('hands all slots over on a release', async t => {
  const harness = createHarness()
  await advanceRounds(harness, 12)
  await harness.nodes[0]!.ownership.release()
  t.true(harness.targets.every(target => harness.nodes[0]!.ownership.getSlotLimit(target) === 0))
  await advanceRounds(harness, 10)
  t.true(harness.targets.every(target => harness.sumLimits(target) === target.slots))
})

const partitionsOfN2 = ['n0|n2', 'n1|n2']

function isTakeover (writes: TableWrite[]): boolean {
  const rows = writes.filter(write => write.table === TableName.Feeds && write.value !== undefined).map(write => write.value as OwnershipRow)
  return rows.some(row => Object.values(row.parties).some(participant => participant.silent))
}

/** Cuts n2 off from the platform and its peers, and delays the write with which another instance declares it silent. */
async function createDelayedTakeover (): Promise<ReturnType<typeof createHarness>> {
  const harness = createHarness()
  await advanceRounds(harness, 12)
  harness.instancesWithoutPlatform.add('n2')
  partitionsOfN2.forEach(partition => harness.partitions.add(partition))
  const delayed: TableWrite[][] = []
  harness.chooseFault = writes => {
    if (!isTakeover(writes)) return CallFault.None
    delayed.push(writes)
    return CallFault.Delayed
  }
  for (let round = 0; delayed.length === 0 && round < 100; round++) await harness.advance(500)
  return harness
}

function isWithinSlots (harness: ReturnType<typeof createHarness>): boolean {
  return harness.targets.every(target => harness.sumLimits(target) <= target.slots)
}

test('rejects a delayed takeover write once the owner has sent a heartbeat', async t => {
  const harness = await createDelayedTakeover()
  harness.instancesWithoutPlatform.clear()
  harness.chooseFault = writes => writes.some(write => write.table === TableName.Feeds && write.value !== undefined) ? CallFault.Refused : CallFault.None
  harness.nodes[0]!.isPaused = harness.nodes[1]!.isPaused = true
  await harness.advance(100)
  await harness.advance(100)
  t.is(harness.nodes[2]!.ownership.getLeaseState(), LeaseState.Valid)
  harness.applyDelayedWrites()
  harness.nodes.forEach(node => { node.isPaused = node.name === 'n2' })
  await harness.advance(100)
  t.true(isWithinSlots(harness))
})

test('denies an acknowledgement to an instance that is being declared silent', async t => {
  const harness = await createDelayedTakeover()
  harness.partitions.clear()
  harness.nodes[0]!.isPaused = harness.nodes[1]!.isPaused = false
  const reply = harness.nodes.slice(0, 2).map(node => node.ownership.handleExchange({ instance: 'n2', revisions: {}, rows: [] }).heard)
  t.true(reply.includes(false))
})

test('stops dispatch immediately when the response to a release is lost', async t => {
  const harness = createHarness()
  await advanceRounds(harness, 12)
  harness.nodes[0]!.inFlight = []
  harness.chooseFault = () => CallFault.ReplyLost
  await harness.nodes[0]!.ownership.release()
  harness.chooseFault = () => CallFault.None
  harness.nodes[0]!.isPaused = true
  await harness.advance(100)
  t.true(isWithinSlots(harness))
})

test('fences off a change whose write is delayed', async t => {
  const harness = createHarness()
  await advanceRounds(harness, 12)
  harness.chooseFault = () => CallFault.Delayed
  await harness.nodes[0]!.ownership.release()
  harness.chooseFault = () => CallFault.None
  await advanceRounds(harness, 10)
  t.true(harness.targets.every(target => harness.sumLimits(target) === target.slots))
  harness.applyDelayedWrites()
  await advanceRounds(harness, 10)
  t.true(harness.targets.every(target => harness.sumLimits(target) === target.slots))
})

test('returns only rows newer than the revisions in the message', async t => {
  const harness = createHarness()
  await advanceRounds(harness, 12)
  const { rows } = harness.nodes[0]!.ownership.handleExchange({ instance: 'n1', revisions: {}, rows: [] })
  const known = Object.fromEntries(rows.map(row => [row.failureDomain, row.revision]))
  t.is(rows.length, 2)
  t.deepEqual(harness.nodes[0]!.ownership.handleExchange({ instance: 'n1', revisions: known, rows: [] }).rows, [])
})

test('writes a first row again when its write is delayed', async t => {
  const harness = createHarness()
  harness.chooseFault = writes => writes.some(write => write.table === TableName.Feeds && write.value !== undefined) ? CallFault.Delayed : CallFault.None
  await advanceRounds(harness, 4)
  harness.chooseFault = () => CallFault.None
  await advanceRounds(harness, 20)
  t.true(harness.targets.every(target => harness.sumLimits(target) === target.slots))
  harness.applyDelayedWrites()
  await advanceRounds(harness, 10)
  t.true(harness.targets.every(target => harness.sumLimits(target) === target.slots))
})
