/**
 * Keeps the feed rows: who feeds which failure domain's targets, and whether this instance still may.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import type { IndexRow, MachineList, Platform, TableWrite } from '@bilberryworks/platform'
import type { OwnershipAssignment, OwnershipChange, OwnershipRow, InstanceRecord, TargetRecord, LeaseState } from '@bilberryworks/steering'
import type { OwnershipReply } from './ownership_exchange.ts'
import type { OwnershipRows } from './ownership_rows.ts'
import { PlatformFailureKind } from '@bilberryworks/platform'
import { chooseOwner, computeOwnedSlots, planOwnershipChange } from '@bilberryworks/steering'
import { createOwnershipExchange } from './ownership_exchange.ts'
import { createLease } from './ownership_lease.ts'
import { createOwnershipRows } from './ownership_rows.ts'
import { confirmOwnershipRows, readOwnershipRow, writeOwnershipRow } from './ownership_store.ts'
import { createFailureDetector } from './failure_detector.ts'

const driftAllowance = 1.1

/** Times that bind all instances of a deployment. */
export interface LeaseTimes {
  /** Time that a lease lasts without contact, in milliseconds. */
  leaseMs: number
  /** Longest time that a request other than an upload may take, in milliseconds. */
  longestDispatchMs: number
}

/** Options of {@linkcode createOwnershipManager}. */
export interface CreateOwnershipManagerOptions extends LeaseTimes {
  /** The platform. */
  platform: Platform
  /** The other instances. */
  peers: PeerClient
  /** Returns this instance's record. */
  getSelf: () => InstanceRecord
  /** Lists the instances heard of lately. */
  listInstances: () => InstanceRecord[]
  /** Finds the last record of an instance, also where it has not been heard of lately. */
  findInstance: (instance: string) => InstanceRecord | undefined
  /** Returns the time since an instance was last heard of by anybody, in milliseconds. */
  getSilenceMs: (instance: string) => number
  /** Lists all targets. */
  listTargets: () => TargetRecord[]
  /** Returns the slots that this instance holds at a target. */
  getBusy: (target: string) => number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Called at each change of the lease's state. */
  recordLease: (state: LeaseState) => void
  /** Called when this instance has declared another one silent. */
  recordTakeover: (instance: string, failureDomain: string) => void
}

/** The feed rows as one instance keeps them. */
export interface OwnershipManager {
  /** Returns the slots of a target that this instance may use now. */
  getSlotLimit (target: TargetRecord): number
  /** Lists the feeders of a failure domain. */
  listOwners (failureDomain: string): string[]
  /** Takes note of a heartbeat that the platform acknowledged, by the time at which it was sent. */
  recordHeartbeat (sentAtMs: number): void
  /** Takes note of the platform's list of machines. */
  recordMachines (list: MachineList): void
  /** Fetches the rows that the index row shows to have changed. */
  refresh (index: IndexRow): Promise<void>
  /** Renews the lease by peers where the platform is out; not held up by a platform that does not answer. */
  renewLease (): Promise<void>
  /** Changes the rows that need it. */
  advance (): Promise<void>
  /** Gives up everything that this instance feeds. */
  release (): Promise<void>
  /** Answers another feeder. */
  handleExchange (params: unknown): OwnershipReply
  /** Returns the state of the lease. */
  getLeaseState (): LeaseState
}

/** A failure domain with its region. */
interface Place {
  failureDomain: string
  region: string
}

/**
 * Creates the keeper of feed rows of an instance.
 *
 * @param options What it reads and writes
 * @returns The keeper
 */
export function createOwnershipManager (options: CreateOwnershipManagerOptions): OwnershipManager {
  const { platform, getNowMs, leaseMs, longestDispatchMs } = options
  const startedMs = getNowMs()
  const rows = createOwnershipRows()
  const lease = createLease({ leaseMs, getNowMs, recordLease: options.recordLease, listCandidates: () => listGuards(rows, options.getSelf().instance) })
  const watch = createFailureDetector({
    takeoverMs: leaseMs * driftAllowance + longestDispatchMs, watchAfterMs: leaseMs / 2, platform, getSilenceMs: options.getSilenceMs, getNowMs
  })
  const exchange = createOwnershipExchange({
    getInstance: () => options.getSelf().instance,
    findInstance: options.findInstance,
    peers: options.peers,
    getNowMs,
    listRows: rows.listRows,
    mergeRow,
    recordHeard: watch.recordHeard,
    recordHeardBy: lease.recordHeardBy
  })
  let wasParty = false
  let mustRelease = false

  function mergeRow (row: OwnershipRow): void {
    const isFirst = rows.getRow(row.failureDomain) === undefined
    if (rows.mergeRow(row) && isFirst && row.parties[options.getSelf().instance] !== undefined) wasParty = true
  }

  function getSlotLimit (target: TargetRecord): number {
    const { instance } = options.getSelf()
    const leaseState = lease.getState()
    const mayHaveOrphans = wasParty && getNowMs() < startedMs + longestDispatchMs
    const limits = rows.listPossible(target.failureDomain).map(row => computeOwnedSlots(target, { instance, row, lease: leaseState, mayHaveOrphanedRequests: mayHaveOrphans }))
    return rows.getRow(target.failureDomain) === undefined ? 0 : Math.min(...limits)
  }

  async function updateRow (place: Place): Promise<void> {
    if (rows.isPending(place.failureDomain)) return
    const row = rows.getRow(place.failureDomain)
    const change = planOwnershipChange({
      self: options.getSelf(),
      domain: place,
      row,
      instances: options.listInstances(),
      mustRelease,
      canActAsFallback: getNowMs() - startedMs > leaseMs,
      busy: collectBusy(place, options),
      isOwnTarget: (target: string, assignment: OwnershipAssignment) => chooseOwner(target, assignment.feeders) === options.getSelf().instance,
      isSilent: watch.isSilent,
      isGone: watch.isGone
    })
    if (change === undefined) return
    const guards = watch.suspect(change.declaredSilent)
    rows.addPending({ row: change.row, settle: () => watch.settle(change.declaredSilent) })
    await writeChange(change, guards)
  }

  async function writeChange (change: OwnershipChange, guards: TableWrite[]): Promise<void> {
    const { row } = change
    const { failureDomain } = row
    const stored = await readOwnershipRow(platform, failureDomain)
    const current = stored.isOk() ? stored.value.row : undefined
    if (stored.isErr() || (current?.revision ?? 0) !== row.revision - 1) {
      rows.dropPending(failureDomain)
      if (current !== undefined) mergeRow(current)
      return
    }
    const written = await writeOwnershipRow(platform, row, { version: stored.value.version, preconditions: guards })
    if (written.isOk()) {
      mergeRow(row)
      change.declaredSilent.forEach(name => options.recordTakeover(name, failureDomain))
      await exchange.spreadRow(row)
    } else if (written.error.kind !== PlatformFailureKind.Unknown) {
      rows.dropPending(failureDomain)
    }
  }

  /** After a lapse, makes sure that nobody has taken over what this instance believes to feed. */
  async function confirmRows (): Promise<void> {
    if (!lease.needsConfirmation()) return
    const sentAtMs = getNowMs()
    if (await confirmOwnershipRows(platform, mergeRow)) lease.confirmRows(sentAtMs)
  }

  async function updateRows (): Promise<void> {
    for (const place of listPlaces(options.listTargets())) await updateRow(place)
  }

  return {
    getSlotLimit,
    listOwners: failureDomain => rows.getRow(failureDomain)?.assignment.feeders ?? [],
    recordHeartbeat: lease.recordHeartbeat,
    recordMachines (list) {
      watch.recordMachines(list, { self: options.getSelf().instance, parties: listParties(rows) })
    },
    async refresh (index) {
      for (const [failureDomain, revision] of Object.entries(index.feeds)) {
        if (revision <= (rows.getRow(failureDomain)?.revision ?? 0)) continue
        const stored = await readOwnershipRow(platform, failureDomain)
        if (stored.isOk() && stored.value.row !== undefined) mergeRow(stored.value.row)
      }
    },
    async renewLease () {
      await confirmRows()
      await lease.renew(exchange.exchangeWith)
    },
    async advance () {
      await resolvePending(rows, { platform, mergeRow })
      await watch.observe(listParties(rows).filter(name => name !== options.getSelf().instance))
      await updateRows()
    },
    async release () {
      mustRelease = true
      await updateRows()
    },
    handleExchange: exchange.handleExchange,
    getLeaseState: lease.getState
  }
}

/** Instances that feed, or may still feed, by the rows known. */
function listParties (rows: OwnershipRows): string[] {
  return [...new Set(rows.listRows().flatMap(row => Object.keys(row.parties)))]
}

/** Instances that may declare this one silent, by any row that may be in force. */
function listGuards (rows: OwnershipRows, own: string): string[] {
  const concerned = rows.listAllPossible().filter(row => row.parties[own] !== undefined || row.assignment.feeders.includes(own))
  const guards = new Set(concerned.flatMap(row => [...row.assignment.candidates, ...row.parties[own]?.assignment.candidates ?? []]))
  guards.delete(own)
  return [...guards]
}

/** Slots that this instance holds at the targets of a failure domain. */
function collectBusy (place: Place, options: CreateOwnershipManagerOptions): Record<string, number> {
  const targets = options.listTargets().filter(target => target.failureDomain === place.failureDomain)
  const held = targets.map(target => [target.target, options.getBusy(target.target)] as const)
  return Object.fromEntries(held.filter(([, slots]) => slots > 0))
}

/** Failure domains that have targets. */
function listPlaces (targets: TargetRecord[]): Place[] {
  const places = new Map(targets.map(target => [target.failureDomain, target.region]))
  return [...places].map(([failureDomain, region]) => ({ failureDomain, region }))
}

/** Finds out what became of changes whose answer was lost; those not carried out are fenced off by an empty change. */
async function resolvePending (rows: OwnershipRows, options: { platform: Platform, mergeRow: (row: OwnershipRow) => void }): Promise<void> {
  const { platform, mergeRow } = options
  for (const { failureDomain } of rows.listAllPossible()) {
    if (!rows.isPending(failureDomain)) continue
    const stored = await readOwnershipRow(platform, failureDomain)
    if (stored.isErr()) continue
    const { row, version } = stored.value
    if (row !== undefined) mergeRow(row)
    const [pending] = rows.listPossible(failureDomain).slice(-1)
    if (!rows.isPending(failureDomain) || pending === undefined) continue
    const fence = row === undefined ? pending : { ...row, revision: row.revision + 1 }
    const written = await writeOwnershipRow(platform, fence, { version, preconditions: [] })
    if (written.isOk()) mergeRow(fence)
  }
}
