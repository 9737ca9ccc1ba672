/**
 * Test harness: several ownership managers with an in-memory platform and scripted faults, on a virtual clock.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import type { Platform, PlatformFailure, TableRow, TableWrite } from '@bilberryworks/platform'
import type { InstanceRecord, TargetRecord } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import type { OwnershipManager } from './ownership_manager.ts'
import { PlatformFailureKind, readIndex, TableName } from '@bilberryworks/platform'
import { LifecycleState } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'
import { createOwnershipManager } from './ownership_manager.ts'
import { createClusterView } from './cluster_view.ts'

const leaseMs = 4_000
const longestDispatchMs = 2_000

/** Fault injected into one write to the platform. */
export enum CallFault {
  /** The write succeeds. */
  None = 'none',
  /** The write fails because the platform is unavailable, and is not applied. */
  Refused = 'refused',
  /** The write is applied, but its result is reported as unknown. */
  ReplyLost = 'answer_lost',
  /** The result is reported as unknown, and the write is applied later, when the test requests it. */
  Delayed = 'delayed'
}

/** One simulated instance. */
export interface HarnessNode {
  name: string
  isPaused: boolean
  ownership: OwnershipManager
  /** Requests in flight, with the target and the virtual time at which each ends, in milliseconds. */
  inFlight: Array<{ target: string, endMs: number }>
  step: () => Promise<void>
}

/** Simulated instances that share a platform and a virtual clock. */
export interface Harness {
  nodes: HarnessNode[]
  targets: TargetRecord[]
  /** Pairs of instances with a network partition between them, as `a|b`. */
  partitions: Set<string>
  /** Names of the instances that can't reach the platform. */
  instancesWithoutPlatform: Set<string>
  /** Chooses the fault to inject into a write. */
  chooseFault: (writes: TableWrite[]) => CallFault
  /** Advances the clock, ends the requests that are due and runs one step of every instance that is not paused. */
  advance (ms: number): Promise<void>
  /** Applies the delayed writes. */
  applyDelayedWrites (): void
  /** Replaces an instance's process by a new one; the requests of the old process end. */
  restart (index: number): void
  /** Returns the maximum over all targets of the slots in use minus the slots that the target has; positive when a target is overloaded. */
  findMaxOveruse (): number
  /** Sums the slots of a target that all instances together may use. */
  sumLimits (target: TargetRecord): number
}

/** Creates an in-memory store of table rows with transactional, conditional writes. */
function createStore (): { rows: Map<string, TableRow>, applyWrites: (writes: TableWrite[]) => Result<void, PlatformFailure> } {
  const rows = new Map<string, TableRow>()
  let version = 0

  function applyWrites (writes: TableWrite[]): Result<void, PlatformFailure> {
    const conflicts = writes.filter(write => write.ifVersion !== undefined && (rows.get(`${write.table}/${write.key}`)?.version ?? 0) !== write.ifVersion)
    if (conflicts.length > 0) return err({ kind: PlatformFailureKind.Conflict, detail: '', conflicts })
    for (const { table, key, value, checkOnly } of writes) {
      if (checkOnly !== true) rows.set(`${table}/${key}`, { key, version: ++version, value: structuredClone(value) })
    }
    return ok(undefined)
  }

  return { rows, applyWrites }
}

/**
 * Creates a harness with three instances in two failure domains of one region.
 *
 * @returns The harness
 */
export function createHarness (): Harness {
  let nowMs = 1_000_000
  const { rows, applyWrites } = createStore()
  const delayedWrites: TableWrite[][] = []
  const nodePlacements = [['n0', 'd0'], ['n1', 'd0'], ['n2', 'd1']] as const
  const targets = ['d0', 'd0', 'd0', 'd1', 'd1'].map((failureDomain, index): TargetRecord => ({
    target: `t${index}`, service: 's', address: '', failureDomain, region: 'r', slots: index % 2 === 0 ? 3 : 5, maxConnections: 330, state: LifecycleState.Live
  }))
  const harness: Harness = {
    nodes: [],
    targets,
    partitions: new Set(),
    instancesWithoutPlatform: new Set(),
    chooseFault: () => CallFault.None,
    async advance (ms) {
      nowMs += ms
      for (const node of harness.nodes) node.inFlight = node.inFlight.filter(request => request.endMs > nowMs)
      await Promise.all(harness.nodes.map(async node => node.isPaused ? undefined : node.step()))
    },
    applyDelayedWrites () {
      for (const writes of delayedWrites.splice(0)) applyWrites(writes)
    },
    restart (index) {
      harness.nodes[index] = createNode(nodePlacements[index]!)
    },
    findMaxOveruse () {
      const excess = targets.map(target => {
        const usedSlots = harness.nodes.flatMap(node => node.inFlight).filter(request => request.target === target.target).length
        return usedSlots - target.slots
      })
      return Math.max(...excess)
    },
    sumLimits: target => harness.nodes.reduce((sum, node) => sum + node.ownership.getSlotLimit(target), 0)
  }

  function createPlatform (name: string): Platform {
    const unavailable = err({ kind: PlatformFailureKind.Unavailable, detail: '' })
    const unsupported = async (): Promise<never> => { throw new Error('Platform call is not supported by the test harness') }
    return {
      readRow: async (table, key) => harness.instancesWithoutPlatform.has(name) ? unavailable : ok(structuredClone(rows.get(`${table}/${key}`))),
      listRows: async (table, prefix) => harness.instancesWithoutPlatform.has(name) ? unavailable : ok([...rows].filter(([key]) => key.startsWith(`${table}/${prefix}`)).map(([, row]) => structuredClone(row))),
      async writeRows (writes) {
        const fault = harness.instancesWithoutPlatform.has(name) ? CallFault.Refused : harness.chooseFault(writes)
        if (fault === CallFault.Refused) return unavailable
        if (fault === CallFault.None) return applyWrites(writes)
        if (fault === CallFault.ReplyLost) applyWrites(writes)
        else delayedWrites.push(writes)
        return err({ kind: PlatformFailureKind.Unknown, detail: '' })
      },
      readObject: unsupported,
      writeObject: unsupported,
      listMachines: unsupported
    }
  }

  function createPeers (name: string): PeerClient {
    return {
      async call (address, _method, call) {
        const node = harness.nodes.find(other => other.name === address)
        const isPartitioned = harness.partitions.has(`${name}|${address}`) || harness.partitions.has(`${address}|${name}`)
        if (node === undefined || node.isPaused || isPartitioned) return err({ kind: 'lost' as never, detail: '' })
        return ok(structuredClone(node.ownership.handleExchange(structuredClone(call.params))) as never)
      },
      forward: async () => { throw new Error('Forwarding is not supported by the test harness') },
      async [Symbol.asyncDispose] () {}
    }
  }

  function createNode ([name, failureDomain]: readonly [string, string]): HarnessNode {
    const getNowMs = (): number => nowMs
    const view = createClusterView({ instanceTimeoutMs: leaseMs, getNowMs })
    const platform = createPlatform(name)
    let record: InstanceRecord = {
      instance: name, incarnation: `${name}-${nowMs}`, failureDomain, region: 'r', callerAddress: name, peerAddress: name, state: LifecycleState.Live, sequence: 0, pinEpoch: 0
    }
    const ownership = createOwnershipManager({
      leaseMs,
      longestDispatchMs,
      platform,
      peers: createPeers(name),
      getSelf: () => record,
      listInstances: view.listInstances,
      findInstance: view.getInstance,
      getSilenceMs: view.getSilenceMs,
      listTargets: () => targets,
      getBusySlots: target => node.inFlight.filter(request => request.target === target).length,
      getNowMs,
      recordLease: () => {},
      recordTakeover: () => {}
    })
    function dispatchToFreeSlots (): void {
      for (const target of targets) {
        while (node.inFlight.filter(request => request.target === target.target).length < ownership.getSlotLimit(target)) {
          node.inFlight.push({ target: target.target, endMs: nowMs + 100 + (node.inFlight.length * 397) % (longestDispatchMs - 100) })
        }
      }
    }
    const node: HarnessNode = {
      name,
      isPaused: false,
      ownership,
      inFlight: [],
      async step () {
        dispatchToFreeSlots()
        record = { ...record, sequence: record.sequence + 1 }
        view.mergeInstance(record)
        const sentAtMs = nowMs
        const written = await platform.writeRows([{ table: TableName.Instances, key: `${name}/${record.incarnation}`, value: record }])
        if (written.isOk()) ownership.recordHeartbeat(sentAtMs)
        const instanceRows = await platform.listRows(TableName.Instances, '')
        if (instanceRows.isOk()) instanceRows.value.forEach(row => view.mergeInstance(row.value as InstanceRecord))
        const index = await readIndex(platform)
        if (index.isOk()) await ownership.refresh(index.value.index)
        await ownership.renewLease()
        await ownership.advance()
        dispatchToFreeSlots()
      }
    }
    return node
  }

  harness.nodes = nodePlacements.map(createNode)
  return harness
}
