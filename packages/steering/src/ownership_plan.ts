/**
 * Plans the changes that an instance makes to the ownership row of a failure domain.
 *
 * @module
 */
import type { OwnershipAssignment, OwnershipParticipant, OwnershipRow } from './target_ownership.ts'
import type { InstanceRecord } from './inventory.ts'
import { isSameAssignment } from './target_ownership.ts'
import { LifecycleState } from './inventory.ts'
import { rankByRendezvous } from './rendezvous.ts'

/** Maximum number of candidates for a takeover. */
const maxCandidates = 4
/** Maximum number of instances that own the targets of a failure domain. */
const maxOwners = 8

/** Options of {@linkcode planOwnershipChange}. */
export interface PlanOwnershipChangeOptions {
  /** Record of this instance. */
  self: InstanceRecord
  /** The failure domain and its region. */
  domain: { failureDomain: string, region: string }
  /** The ownership row; `undefined` if there is none. */
  row: OwnershipRow | undefined
  /** Instances with a recent heartbeat, including leaving ones and this one. */
  instances: InstanceRecord[]
  /** Whether this instance is about to stop and gives up its ownership without waiting for another owner. */
  mustRelease: boolean
  /** Whether this instance has been up long enough to know that no nearer instance is live. */
  canActAsFallback: boolean
  /** Number of slots that this instance holds, by target. */
  busy: Record<string, number>
  /** Returns whether this instance owns a target under an assignment. */
  isOwnTarget: (target: string, assignment: OwnershipAssignment) => boolean
  /** Returns whether an instance has been silent for the takeover time. */
  isSilent: (instance: string) => boolean
  /** Returns whether the platform does not list an instance, so that it can't be dispatching. */
  isUnlisted: (instance: string) => boolean
}

/** A change of an ownership row. */
export interface OwnershipChange {
  /** The row to write. */
  row: OwnershipRow
  /** Instances that the change declares silent; their heartbeats must be unchanged when the row is written. */
  declaredSilent: string[]
}

/**
 * Plans the next change that this instance makes to an ownership row.
 *
 * @param options The row, the known instances and their liveness
 * @returns The change, or `undefined` if the row needs none
 */
export function planOwnershipChange (options: PlanOwnershipChangeOptions): OwnershipChange | undefined {
  const { row, self } = options
  const feeders = selectOwners(options)
  if (row === undefined) {
    if (!feeders.includes(self.instance)) return undefined
    const assignment = { feeders: [self.instance], candidates: selectCandidates(options) }
    return { row: { failureDomain: options.domain.failureDomain, revision: 1, assignment, parties: { [self.instance]: createParticipant(assignment) } }, declaredSilent: [] }
  }
  const declaredSilent = Object.keys(row.parties).filter(name => isToBeDeclaredSilent(name, row, options))
  const parties = { ...row.parties }
  for (const name of Object.keys(parties)) {
    if (options.isUnlisted(name)) delete parties[name]
    else if (declaredSilent.includes(name)) parties[name] = { ...parties[name]!, silent: true }
  }
  const assignment = chooseAssignment(row, { options, feeders, parties })
  updateOwnParticipant(parties, assignment, options)
  for (const [name, participant] of Object.entries(parties)) {
    if (!assignment.feeders.includes(name) && isSettled(participant, assignment)) delete parties[name]
  }
  const changed = { ...row, assignment, parties }
  if (JSON.stringify(changed) === JSON.stringify(row)) return undefined
  return { row: { ...changed, revision: row.revision + 1 }, declaredSilent }
}

/** Selects the instances that should own the targets: those in the failure domain, otherwise one fallback, preferably in the region. */
function selectOwners (options: PlanOwnershipChangeOptions): string[] {
  const live = options.instances.filter(record => record.state === LifecycleState.Live)
  const domainInstances = live.filter(record => record.failureDomain === options.domain.failureDomain)
  if (domainInstances.length > 0 || !options.canActAsFallback) return rankEvenly(options.domain.failureDomain, listNames(domainInstances)).slice(0, maxOwners)
  const regionInstances = live.filter(record => record.region === options.domain.region)
  const names = listNames(regionInstances.length > 0 ? regionInstances : live)
  return rankEvenly(options.domain.failureDomain, names).slice(0, 1)
}

/** Selects a few instances that may take over, preferring the nearest. */
function selectCandidates (options: PlanOwnershipChangeOptions): string[] {
  const { failureDomain, region } = options.domain
  const live = options.instances.filter(record => record.state === LifecycleState.Live)
  const instancesByDistance = [
    live.filter(record => record.failureDomain === failureDomain),
    live.filter(record => record.failureDomain !== failureDomain && record.region === region),
    live.filter(record => record.region !== region)
  ]
  return instancesByDistance.flatMap(instances => rankEvenly(failureDomain, listNames(instances))).slice(0, maxCandidates).sort()
}

function isToBeDeclaredSilent (name: string, row: OwnershipRow, options: PlanOwnershipChangeOptions): boolean {
  const participant = row.parties[name]!
  if (name === options.self.instance || participant.silent || !options.isSilent(name)) return false
  return participant.assignment.candidates.includes(options.self.instance)
}

/**
 * Chooses the assignment to put in force.
 *
 * Each instance adds or removes only itself, and removes instances that were declared silent or that the platform does
 * not list. An owner that should give up its ownership keeps it until another owner has joined, unless `mustRelease` is
 * set.
 */
function chooseAssignment (row: OwnershipRow, plan: { options: PlanOwnershipChangeOptions, feeders: string[], parties: Record<string, OwnershipParticipant> }): OwnershipAssignment {
  const { options, feeders: owners, parties: participants } = plan
  const ownName = options.self.instance
  const otherOwners = row.assignment.feeders.filter(name => name !== ownName && participants[name] !== undefined && !participants[name].silent)
  const wasDeclaredSilent = participants[ownName]?.silent === true
  const mustStay = row.assignment.feeders.includes(ownName) && otherOwners.length === 0
  const isOwner = !wasDeclaredSilent && !options.mustRelease && (owners.includes(ownName) || mustStay)
  const nextOwners = (isOwner ? [...otherOwners, ownName] : otherOwners).sort()
  const candidates = nextOwners[0] === ownName ? selectCandidates(options) : row.assignment.candidates
  const assignment = { feeders: nextOwners, candidates }
  return isSameAssignment(assignment, row.assignment) ? row.assignment : assignment
}

function updateOwnParticipant (participants: Record<string, OwnershipParticipant>, assignment: OwnershipAssignment, options: PlanOwnershipChangeOptions): void {
  const ownName = options.self.instance
  if (participants[ownName] === undefined && !assignment.feeders.includes(ownName)) return
  const busy: Record<string, number> = {}
  for (const [target, slots] of Object.entries(options.busy)) {
    if (!options.isOwnTarget(target, assignment)) busy[target] = slots
  }
  participants[ownName] = { assignment, busy, silent: false }
}

/** Returns whether a participant has acknowledged the assignment and holds no slots of targets that it does not own. */
function isSettled (participant: OwnershipParticipant, assignment: OwnershipAssignment): boolean {
  return isSameAssignment(participant.assignment, assignment) && Object.keys(participant.busy).length === 0
}

function createParticipant (assignment: OwnershipAssignment): OwnershipParticipant {
  return { assignment, busy: {}, silent: false }
}

function listNames (records: InstanceRecord[]): string[] {
  return records.map(record => record.instance).sort()
}

function rankEvenly (key: string, names: string[]): string[] {
  return rankByRendezvous(key, Object.fromEntries(names.map(name => [name, 1])))
}
