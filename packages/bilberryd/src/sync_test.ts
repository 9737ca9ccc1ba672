import type { MemoryPlatform } from '@bilberryworks/platform'
import type { PeerClient } from '@bilberryworks/instances'
import type { AcceptedDocument, InstanceRecord, ServiceDocument, TargetRecord } from '@bilberryworks/steering'
import type { Sync } from './sync.ts'
import type { ClusterView } from './cluster_view.ts'
import { PeerFailureKind } from '@bilberryworks/instances'
import { createMemoryPlatform, indexKey, MemoryFault, TableName } from '@bilberryworks/platform'
import { createShiftRow, LifecycleState, Objective } from '@bilberryworks/steering'
import test from 'ava'
import fc from 'fast-check'
import { err, ok } from 'neverthrow'
import { createSync } from './sync.ts'
import { createClusterView } from './cluster_view.ts'

const seed = Number(process.env['FC_SEED'] ?? 4)
const idleMs = 3_600_000
const instanceTimeoutMs = 10_000
const limits = { maxBodyBytes: 1, maxUploadBytes: 1, maxQueued: 1 }
const target: TargetRecord = { target: 't', service: 'api', address: 'a:1', failureDomain: 'd', region: 'r', slots: 1, maxConnections: 1, state: LifecycleState.Live }

function createAccepted (revision: number): AcceptedDocument {
  const document: ServiceDocument = { service: 'api', ownerTeam: 'a', regionWeights: { r: revision }, shiftCap: 0.1, shiftStepMs: 1_000, leavingTargets: [], classes: [], objective: Objective.Headroom, limits }
  return { revision, document, acceptedAtMs: 0, author: 'n', submissionId: String(revision) }
}

async function writeAccepted (platform: MemoryPlatform, revision: number): Promise<void> {
  const accepted = createAccepted(revision)
  const index = platform.getValue(TableName.Index, indexKey) as object | undefined
  await platform.writeRows([
    { table: TableName.Documents, key: 'api', value: accepted },
    { table: TableName.Shifts, key: 'api', value: createShiftRow(createAccepted(1)) },
    { table: TableName.Index, key: indexKey, value: { members: 0, ...index, revisions: { api: revision }, shifts: { api: 1 } } }
  ])
}

interface Node extends AsyncDisposable { name: string, view: ClusterView, sync: Sync, supersededCalls: number, state: LifecycleState, platform: MemoryPlatform }

/** Creates instances that share one platform and call each other directly, with intervals too long for any loop to run during a test. */
function createNetwork (): { platform: MemoryPlatform, nodes: Map<string, Node>, isPartitioned: (from: string, to: string) => boolean, nowMs: number, delay: Promise<void>, start: (name: string, seedPeers?: string[], incarnation?: string) => Node } {
  const network = {
    platform: createMemoryPlatform(),
    nodes: new Map<string, Node>(),
    isPartitioned: (_from: string, _to: string): boolean => false,
    nowMs: 0,
    delay: Promise.resolve(),
    start (name: string, seedPeers: string[] = [], incarnation = `${name}-1`): Node {
      const platform = createMemoryPlatform(network.platform.state)
      platform.machines = network.platform.machines
      platform.chooseFault = network.platform.chooseFault
      const getNowMs = (): number => network.nowMs
      const view = createClusterView({ instanceTimeoutMs, getNowMs })
      let sequence = 0
      const peers: PeerClient = {
        async call (address, method, { params }) {
          await network.delay
          const peer = network.nodes.get(address)
          if (peer === undefined || network.isPartitioned(name, address)) return err({ kind: PeerFailureKind.ConnectFailed, detail: 'cut' })
          return ok(structuredClone(await peer.sync.methods[method]?.(structuredClone(params))) as never)
        },
        forward: async () => { throw new Error('This test forwards no request') },
        async [Symbol.asyncDispose] () {}
      }
      const createInstanceRecord = (): InstanceRecord => ({
        instance: name, incarnation, failureDomain: 'd', region: 'r', callerAddress: name, peerAddress: name, state: node.state, sequence: ++sequence, pinEpoch: 0
      })
      const node: Node = { name, view, supersededCalls: 0, state: LifecycleState.Live, platform } as Node
      node.sync = createSync({
        view, platform, peers, createInstanceRecord, seedPeers, pollMs: idleMs, heartbeatMs: idleMs, getRandom: () => 0, getNowMs, recordPlatform: () => {}, recordSuperseded: () => { node.supersededCalls++ }
      })
      node[Symbol.asyncDispose] = () => node.sync[Symbol.asyncDispose]()
      network.nodes.set(name, node)
      return node
    }
  }
  return network
}

async function waitSettled (): Promise<void> {
  for (let round = 0; round < 5; round++) await new Promise(resolve => setImmediate(resolve))
}

function getRevision (node: Node): number {
  return node.view.getDocument('api')?.revision ?? 0
}

const chooseOutage = (): MemoryFault => MemoryFault.Outage

test('learns documents, shifts and targets from the platform', async t => {
  const network = createNetwork()
  await writeAccepted(network.platform, 3)
  network.platform.machines.targets.push(target)
  await using node = network.start('a')
  await waitSettled()
  t.true(node.sync.isReady())
  t.deepEqual([getRevision(node), node.view.getShift('api')?.step, node.view.listAllTargets().length], [3, 1, 1])
})

test('starts from one peer during a platform outage', async t => {
  const network = createNetwork()
  await writeAccepted(network.platform, 3)
  network.platform.machines.targets.push(target)
  await using peer = network.start('a')
  await waitSettled()
  network.platform.chooseFault = chooseOutage
  peer.platform.chooseFault = chooseOutage
  await using node = network.start('b', ['a'])
  await waitSettled()
  t.true(node.sync.isReady())
  t.deepEqual([getRevision(node), node.view.getShift('api')?.step, node.view.listAllTargets().length], [3, 1, 1])
})

test('is not ready if neither the platform nor a ready peer responds', async t => {
  const network = createNetwork()
  network.platform.chooseFault = chooseOutage
  await using first = network.start('a', ['b'])
  await using second = network.start('b', ['a'])
  await waitSettled()
  t.false(first.sync.isReady() || second.sync.isReady())
})

test('prefers the later revision of a peer to that of a stale platform', async t => {
  const network = createNetwork()
  await writeAccepted(network.platform, 3)
  await writeAccepted(network.platform, 4)
  await using peer = network.start('a')
  await waitSettled()
  await writeAccepted(network.platform, 4)
  await network.platform.writeRows([{ table: TableName.Documents, key: 'api', value: createAccepted(3) }, { table: TableName.Index, key: indexKey, value: { members: 0, revisions: { api: 3 }, shifts: { api: 1 } } }])
  await using node = network.start('b', ['a'])
  await waitSettled()
  t.deepEqual([getRevision(peer), getRevision(node), node.sync.isReady()], [4, 4, true])
})

test('ignores an older revision after a newer one', async t => {
  const network = createNetwork()
  await writeAccepted(network.platform, 3)
  await using node = network.start('a')
  await waitSettled()
  node.view.mergeDocument(createAccepted(5))
  await writeAccepted(network.platform, 4)
  await writeAccepted(network.platform, 6)
  node.platform.chooseFault = call => call.tables.includes(TableName.Documents) ? MemoryFault.Stale : undefined
  await node.sync.refresh()
  t.is(getRevision(node), 5)
  node.platform.chooseFault = () => undefined
  await node.sync.refresh()
  t.is(getRevision(node), 6)
})

test('is not ready with a document older than its revision in the index row', async t => {
  const network = createNetwork()
  await writeAccepted(network.platform, 3)
  const older = network.platform.getValue(TableName.Documents, 'api')
  await writeAccepted(network.platform, 4)
  await network.platform.writeRows([{ table: TableName.Documents, key: 'api', value: older }])
  await using node = network.start('a')
  await waitSettled()
  t.deepEqual([getRevision(node), node.sync.isReady()], [3, false])
  await writeAccepted(network.platform, 4)
  await node.sync.refresh()
  t.deepEqual([getRevision(node), node.sync.isReady()], [4, true])
})

test('pulls an update from a peer, or pushes one to it, in a single exchange', async t => {
  const network = createNetwork()
  await using first = network.start('a')
  await using second = network.start('b', ['a'])
  await waitSettled()
  first.view.mergeDocument(createAccepted(5))
  await second.sync.spread()
  t.is(getRevision(second), 5)
  first.view.mergeDocument(createAccepted(6))
  await first.sync.spread()
  await waitSettled()
  t.is(getRevision(second), 6)
})

test('spreads a leaving self-report immediately, and keeps it across polls until a later self-report', async t => {
  const network = createNetwork()
  network.platform.machines.targets.push(target)
  await using first = network.start('a')
  await using second = network.start('b', ['a'])
  await waitSettled()
  const getState = (): LifecycleState | undefined => second.view.listTargets('api')[0]?.state
  first.view.markTargetLeaving('t')
  await waitSettled()
  t.is(getState(), LifecycleState.Leaving)
  await second.sync.refresh()
  t.is(getState(), LifecycleState.Leaving)
  first.view.markTargetLive('t')
  await waitSettled()
  t.is(getState(), LifecycleState.Live)
  await second.sync.spread()
  t.is(first.view.listTargets('api')[0]?.state, LifecycleState.Live)
})

test('removes a leaving instance immediately, and a silent one after the timeout', async t => {
  const network = createNetwork()
  await using first = network.start('a')
  await using second = network.start('b', ['a'])
  await waitSettled()
  const listLive = (): string[] => second.view.listInstances().filter(record => record.state === LifecycleState.Live).map(record => record.instance).sort()
  t.deepEqual(listLive(), ['a', 'b'])
  first.state = LifecycleState.Leaving
  await first.sync.announce()
  t.deepEqual(listLive(), ['b'])
  first.state = LifecycleState.Live
  await first.sync.announce()
  network.nowMs += instanceTimeoutMs + 1
  t.deepEqual([listLive(), second.view.listUnreachable()], [[], ['a', 'b']])
})

test('keeps the later incarnation when an earlier one resumes', async t => {
  const network = createNetwork()
  await using watcher = network.start('w')
  await using paused = network.start('a', [], 'zz-old')
  await waitSettled()
  await using later = network.start('a', [], 'aa-new')
  await waitSettled()
  await paused.sync.announce()
  t.truthy(network.platform.getValue(TableName.Instances, 'a/aa-new'))
  await watcher.sync.refresh()
  await watcher.sync.spread()
  t.is(watcher.view.getInstance('a')?.incarnation, 'aa-new')
  await paused.sync.refresh()
  t.deepEqual([paused.supersededCalls, later.supersededCalls], [1, 0])
})

test('replaces the record of an earlier incarnation when started without the platform', async t => {
  const network = createNetwork()
  await using watcher = network.start('w')
  await using earlier = network.start('a', ['w'], 'zz-old')
  await waitSettled()
  await earlier.sync[Symbol.asyncDispose]()
  watcher.platform.chooseFault = chooseOutage
  network.platform.chooseFault = chooseOutage
  await using fresh = network.start('a', ['w'], 'aa-new')
  await waitSettled()
  await fresh.sync.spread()
  t.is(watcher.view.getInstance('a')?.incarnation, 'aa-new')
})

test('is not ready until a peer that may know a later revision has responded', async t => {
  const network = createNetwork()
  await writeAccepted(network.platform, 3)
  await using peer = network.start('a')
  await waitSettled()
  peer.view.mergeDocument(createAccepted(4))
  let releaseCalls = (): void => {}
  network.delay = new Promise(resolve => { releaseCalls = resolve })
  await using node = network.start('b', ['a'])
  await waitSettled()
  await node.sync.refresh()
  t.deepEqual([getRevision(node), node.sync.isReady()], [3, false])
  releaseCalls()
  await waitSettled()
  t.deepEqual([getRevision(node), node.sync.isReady()], [4, true])
})

test('never lowers a revision under random faults, and spreads the latest once they end', async t => {
  const names = ['a', 'b', 'c']
  const action = fc.oneof(
    fc.record({ kind: fc.constant('write'), node: fc.nat(2) }),
    fc.record({ kind: fc.constantFrom('poll', 'spread', 'restart', 'cutPeers', 'healPeers', 'cutPlatform', 'stalePlatform', 'healPlatform'), node: fc.nat(2) })
  )
  await fc.assert(fc.asyncProperty(fc.array(action, { minLength: 1, maxLength: 20 }), async actions => {
    const network = createNetwork()
    const partitioned = new Set<string>()
    network.isPartitioned = (from, to) => partitioned.has(from) || partitioned.has(to)
    await writeAccepted(network.platform, 1)
    for (const name of names) network.start(name, names)
    await waitSettled()
    let revision = 1
    for (const { kind, node: index } of actions) {
      const name = names[index]!
      const node = network.nodes.get(name)!
      const before = getRevision(node)
      switch (kind) {
        case 'write': await writeAccepted(network.platform, ++revision); break
        case 'poll': await node.sync.refresh(); break
        case 'spread': await node.sync.spread(); break
        case 'restart': await node.sync[Symbol.asyncDispose](); network.start(name, names, `${name}-${revision}-${network.nowMs++}`); break
        case 'cutPeers': partitioned.add(name); break
        case 'healPeers': partitioned.delete(name); break
        case 'cutPlatform': node.platform.chooseFault = chooseOutage; break
        case 'stalePlatform': node.platform.chooseFault = call => call.writes ? undefined : MemoryFault.Stale; break
        default: node.platform.chooseFault = () => undefined
      }
      if (kind !== 'restart') t.true(getRevision(node) >= before)
    }
    partitioned.clear()
    for (const node of network.nodes.values()) node.platform.chooseFault = () => undefined
    for (const node of network.nodes.values()) await node.sync.refresh()
    for (const node of network.nodes.values()) {
      t.is(getRevision(node), revision)
      await node.sync[Symbol.asyncDispose]()
    }
  }), { seed, numRuns: 100 })
  t.log(`seed ${seed}`)
})
