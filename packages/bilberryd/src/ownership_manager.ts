/**
 * Manages the ownership of targets: the owners of each failure domain, and the slots that this instance may use.
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

/** Factor on the lease in the takeover time, since the clocks of instances may run at different rates. */
const clockDriftFactor = 1.1

/** Durations that must be the same at all instances of a deployment. */
export interface LeaseTimes {
  /** Duration of a lease after the last contact, in milliseconds. */
  leaseMs: number
  /** Longest time that a request other than an upload may take at a target, in milliseconds. */
  longestDispatchMs: number
}

/** Options of {@linkcode createOwnershipManager}. */
export interface CreateOwnershipManagerOptions extends LeaseTimes {
  /** The platform. */
  platform: Platform
  /** Client for calls to the other instances. */
  peers: PeerClient
  /** Returns this instance's record. */
  getSelf: () => InstanceRecord
  /** Lists the instances with a recent heartbeat. */
  listInstances: () => InstanceRecord[]
  /** Returns the last known record of an instance, even if its heartbeats have stopped. */
  findInstance: (instance: string) => InstanceRecord | undefined
  /** Returns the time since the last announcement of an instance, from any source, in milliseconds. */
  getSilenceMs: (instance: string) => number
  /** Lists all targets. */
  listTargets: () => TargetRecord[]
  /** Returns the number of slots that this instance holds at a target. */
  getBusySlots: (target: string) => number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Called with each new state of the lease. */
  recordLease: (state: LeaseState) => void
  /** Called when this instance has declared another one silent and taken over from it. */
  recordTakeover: (instance: string, failureDomain: string) => void
}

/** Target ownership of one instance. */
export interface OwnershipManager {
  /** Returns the number of slots of a target that this instance may use now. */
  getSlotLimit (target: TargetRecord): number
  /** Lists the owners of a failure domain's targets. */
  listOwners (failureDomain: string): string[]
  /** Records that the platform acknowledged a heartbeat sent at the given monotonic time. */
  recordHeartbeat (sentAtMs: number): void
  /** Records the platform's list of machines, which shows the instances that no longer exist. */
  recordMachines (list: MachineList): void
  /** Reads the rows that have a later revision in the index row. */
  refresh (index: IndexRow): Promise<void>
  /**
   * Confirms the rows after a lapse of the lease, and renews the lease through peers during a platform outage.
   *
   * A valid lease is renewed without a call to the platform, so that an unresponsive platform does not delay the renewal.
   */
  renewLease (): Promise<void>
  /** Resolves changes with an unknown outcome, and writes the changes that the rows need. */
  advance (): Promise<void>
  /** Gives up the ownership of all targets. */
  release (): Promise<void>
  /** Handles a message from another participant. */
  handleExchange (params: unknown): OwnershipReply
  /** Returns the state of the lease. */
  getLeaseState (): LeaseState
}

interface Domain {
  failureDomain: string
  region: string
}

/**
 * Creates the ownership manager of an instance.
 *
 * @param options Platform, peers, cluster state and callbacks
 * @returns The manager
 */
export function createOwnershipManager (options: CreateOwnershipManagerOptions): OwnershipManager {
  const { platform, getNowMs, leaseMs, longestDispatchMs } = options
  const startedAtMs = getNowMs()
  const rows = createOwnershipRows()
  const lease = createLease({ leaseMs, getNowMs, recordLease: options.recordLease, listCandidates: () => listTakeoverCandidates(rows, options.getSelf().instance) })
  const failureDetector = createFailureDetector({
    takeoverMs: leaseMs * clockDriftFactor + longestDispatchMs, watchAfterMs: leaseMs / 2, platform, getSilenceMs: options.getSilenceMs, getNowMs
  })
  const exchange = createOwnershipExchange({
    getInstance: () => options.getSelf().instance,
    findInstance: options.findInstance,
    peers: options.peers,
    getNowMs,
    listRows: rows.listRows,
    mergeRow,
    recordContact: failureDetector.recordContact,
    recordAcknowledgement: lease.recordAcknowledgement
  })
  /** Whether a row named this instance as participant when it was first read: an earlier run may have left requests at targets. */
  let wasParticipant = false
  let mustRelease = false

  function mergeRow (row: OwnershipRow): void {
    const isNewDomain = rows.getRow(row.failureDomain) === undefined
    if (rows.mergeRow(row) && isNewDomain && row.parties[options.getSelf().instance] !== undefined) wasParticipant = true
  }

  function getSlotLimit (target: TargetRecord): number {
    const { instance } = options.getSelf()
    const leaseState = lease.getState()
    const mayHaveOrphanedRequests = wasParticipant && getNowMs() < startedAtMs + longestDispatchMs
    const limits = rows.listPossible(target.failureDomain).map(row => computeOwnedSlots(target, { instance, row, lease: leaseState, mayHaveOrphanedRequests }))
    return rows.getRow(target.failureDomain) === undefined ? 0 : Math.min(...limits)
  }

  async function updateRow (domain: Domain): Promise<void> {
    if (rows.isPending(domain.failureDomain)) return
    const row = rows.getRow(domain.failureDomain)
    const change = planOwnershipChange({
      self: options.getSelf(),
      domain,
      row,
      instances: options.listInstances(),
      mustRelease,
      canActAsFallback: getNowMs() - startedAtMs > leaseMs,
      busy: collectBusySlots(domain, options),
      isOwnTarget: (target: string, assignment: OwnershipAssignment) => chooseOwner(target, assignment.feeders) === options.getSelf().instance,
      isSilent: failureDetector.isSilent,
      isUnlisted: failureDetector.isUnlisted
    })
    if (change === undefined) return
    const preconditions = failureDetector.startSuspicion(change.declaredSilent)
    rows.addPending({ row: change.row, settle: () => failureDetector.endSuspicion(change.declaredSilent) })
    await writeChange(change, preconditions)
  }

  async function writeChange (change: OwnershipChange, preconditions: TableWrite[]): Promise<void> {
    const { row } = change
    const { failureDomain } = row
    const stored = await readOwnershipRow(platform, failureDomain)
    const current = stored.isOk() ? stored.value.row : undefined
    if (stored.isErr() || (current?.revision ?? 0) !== row.revision - 1) {
      rows.dropPending(failureDomain)
      if (current !== undefined) mergeRow(current)
      return
    }
    const written = await writeOwnershipRow(platform, row, { version: stored.value.version, preconditions })
    if (written.isOk()) {
      mergeRow(row)
      change.declaredSilent.forEach(name => options.recordTakeover(name, failureDomain))
      await exchange.spreadRow(row)
    } else if (written.error.kind !== PlatformFailureKind.Unknown) {
      rows.dropPending(failureDomain)
    }
  }

  /** After a lapse of the lease, checks that no other instance has taken over targets of this one. */
  async function confirmRows (): Promise<void> {
    if (!lease.needsConfirmation()) return
    const sentAtMs = getNowMs()
    if (await confirmOwnershipRows(platform, mergeRow)) lease.confirmRows(sentAtMs)
  }

  async function updateRows (): Promise<void> {
    for (const domain of listDomains(options.listTargets())) await updateRow(domain)
  }

  return {
    getSlotLimit,
    listOwners: failureDomain => rows.getRow(failureDomain)?.assignment.feeders ?? [],
    recordHeartbeat: lease.recordHeartbeat,
    recordMachines (list) {
      failureDetector.recordMachines(list, { self: options.getSelf().instance, parties: listParticipants(rows) })
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
      await failureDetector.observe(listParticipants(rows).filter(name => name !== options.getSelf().instance))
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

/** Lists the instances that own targets, or may still dispatch to them, according to the known rows. */
function listParticipants (rows: OwnershipRows): string[] {
  return [...new Set(rows.listRows().flatMap(row => Object.keys(row.parties)))]
}

/** Lists the instances that may declare this one silent, according to any row that may be in force. */
function listTakeoverCandidates (rows: OwnershipRows, own: string): string[] {
  const ownRows = rows.listAllPossible().filter(row => row.parties[own] !== undefined || row.assignment.feeders.includes(own))
  const candidates = new Set(ownRows.flatMap(row => [...row.assignment.candidates, ...row.parties[own]?.assignment.candidates ?? []]))
  candidates.delete(own)
  return [...candidates]
}

/** Returns the number of slots that this instance holds at each target of a failure domain; omits targets without a held slot. */
function collectBusySlots (domain: Domain, options: CreateOwnershipManagerOptions): Record<string, number> {
  const targets = options.listTargets().filter(target => target.failureDomain === domain.failureDomain)
  const held = targets.map(target => [target.target, options.getBusySlots(target.target)] as const)
  return Object.fromEntries(held.filter(([, slots]) => slots > 0))
}

function listDomains (targets: TargetRecord[]): Domain[] {
  const regionsByDomain = new Map(targets.map(target => [target.failureDomain, target.region]))
  return [...regionsByDomain].map(([failureDomain, region]) => ({ failureDomain, region }))
}

/**
 * Reads the rows of changes whose outcome is unknown.
 *
 * If a change has not been applied, the row is written without it under the next revision, so that the delayed write
 * conflicts when it arrives. A first row has no earlier state and is written again.
 */
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
