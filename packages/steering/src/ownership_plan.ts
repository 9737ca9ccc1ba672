/**
 * The changes that an instance makes to the feed row of a failure domain.
 *
 * @module
 */
import type { OwnershipAssignment, OwnershipParticipant, OwnershipRow } from './target_ownership.ts'
import type { InstanceRecord } from './inventory.ts'
import { isSameAssignment } from './target_ownership.ts'
import { MachineState } from './inventory.ts'
import { rankByRendezvous } from './rendezvous.ts'

const maxCandidates = 4
/** Most instances of a failure domain that feed its targets. */
const maxFeeders = 8

/** What {@linkcode planOwnershipChange} decides from. */
export interface PlanOwnershipChangeOptions {
  /** This instance's own record. */
  self: InstanceRecord
  /** The failure domain and its region. */
  domain: { failureDomain: string, region: string }
  /** The row, where there is one. */
  row: OwnershipRow | undefined
  /** Instances heard of lately, leaving ones and this one among them. */
  instances: InstanceRecord[]
  /** Whether this instance is about to stop and gives up its part at once. */
  mustRelease: boolean
  /** Whether this instance has been up long enough to know that nobody nearer is there. */
  canActAsFallback: boolean
  /** Slots that this instance holds, by target. */
  busy: Record<string, number>
  /** Returns the owner of a target in an assignment. */
  isOwnTarget: (target: string, assignment: OwnershipAssignment) => boolean
  /** Whether an instance has not been heard of for the whole takeover time. */
  isSilent: (instance: string) => boolean
  /** Whether the platform no longer has an instance, so that it can't be sending. */
  isGone: (instance: string) => boolean
}

/** A change of the row. */
export interface OwnershipChange {
  /** The row to write. */
  row: OwnershipRow
  /** Instances declared silent, whose heartbeat must be unchanged when the row is written. */
  declaredSilent: string[]
}

/**
 * Plans the next change that this instance makes to a feed row.
 *
 * @param options What to decide from
 * @returns The change, or `undefined` where the row is as it should be
 */
export function planOwnershipChange (options: PlanOwnershipChangeOptions): OwnershipChange | undefined {
  const { row, self } = options
  const feeders = chooseFeeders(options)
  if (row === undefined) {
    if (!feeders.includes(self.instance)) return undefined
    const assignment = { feeders: [self.instance], candidates: chooseCandidates(options) }
    return { row: { failureDomain: options.domain.failureDomain, revision: 1, assignment, parties: { [self.instance]: createParty(assignment) } }, declaredSilent: [] }
  }
  const declaredSilent = Object.keys(row.parties).filter(name => isToBeDeclaredSilent(name, row, options))
  const parties = { ...row.parties }
  for (const name of Object.keys(parties)) {
    if (options.isGone(name)) delete parties[name]
    else if (declaredSilent.includes(name)) parties[name] = { ...parties[name]!, silent: true }
  }
  const assignment = chooseAssignment(row, { options, feeders, parties })
  updateOwnParty(parties, assignment, options)
  for (const [name, party] of Object.entries(parties)) {
    if (!assignment.feeders.includes(name) && isSettled(party, assignment)) delete parties[name]
  }
  const changed = { ...row, assignment, parties }
  if (JSON.stringify(changed) === JSON.stringify(row)) return undefined
  return { row: { ...changed, revision: row.revision + 1 }, declaredSilent }
}

/** Instances that should feed: those of the failure domain, else those that stand in for it. */
function chooseFeeders (options: PlanOwnershipChangeOptions): string[] {
  const live = options.instances.filter(record => record.state === MachineState.Live)
  const own = live.filter(record => record.failureDomain === options.domain.failureDomain)
  if (own.length > 0 || !options.canActAsFallback) return rankEvenly(options.domain.failureDomain, listNames(own)).slice(0, maxFeeders)
  const region = live.filter(record => record.region === options.domain.region)
  const names = listNames(region.length > 0 ? region : live)
  return rankEvenly(options.domain.failureDomain, names).slice(0, 1)
}

/** Instances that may take over: a few, the nearest first. */
function chooseCandidates (options: PlanOwnershipChangeOptions): string[] {
  const { failureDomain, region } = options.domain
  const live = options.instances.filter(record => record.state === MachineState.Live)
  const circles = [
    live.filter(record => record.failureDomain === failureDomain),
    live.filter(record => record.failureDomain !== failureDomain && record.region === region),
    live.filter(record => record.region !== region)
  ]
  return circles.flatMap(circle => rankEvenly(failureDomain, listNames(circle))).slice(0, maxCandidates).sort()
}

function isToBeDeclaredSilent (name: string, row: OwnershipRow, options: PlanOwnershipChangeOptions): boolean {
  const party = row.parties[name]!
  if (name === options.self.instance || party.silent || !options.isSilent(name)) return false
  return party.assignment.candidates.includes(options.self.instance)
}

/**
 * Chooses the assignment to put in force.
 *
 * Each instance adds or removes only itself, and removes whoever was declared silent or is gone. An instance
 * that should no longer feed stays until another one feeds, unless it must release its part.
 */
function chooseAssignment (row: OwnershipRow, plan: { options: PlanOwnershipChangeOptions, feeders: string[], parties: Record<string, OwnershipParticipant> }): OwnershipAssignment {
  const { options, feeders, parties } = plan
  const own = options.self.instance
  const others = row.assignment.feeders.filter(name => name !== own && parties[name] !== undefined && !parties[name].silent)
  const wasSilent = parties[own]?.silent === true
  const stays = row.assignment.feeders.includes(own) && others.length === 0
  const feeds = !wasSilent && !options.mustRelease && (feeders.includes(own) || stays)
  const next = (feeds ? [...others, own] : others).sort()
  const candidates = next[0] === own ? chooseCandidates(options) : row.assignment.candidates
  const assignment = { feeders: next, candidates }
  return isSameAssignment(assignment, row.assignment) ? row.assignment : assignment
}

function updateOwnParty (parties: Record<string, OwnershipParticipant>, assignment: OwnershipAssignment, options: PlanOwnershipChangeOptions): void {
  const own = options.self.instance
  if (parties[own] === undefined && !assignment.feeders.includes(own)) return
  const busy: Record<string, number> = {}
  for (const [target, slots] of Object.entries(options.busy)) {
    if (!options.isOwnTarget(target, assignment)) busy[target] = slots
  }
  parties[own] = { assignment, busy, silent: false }
}

function isSettled (party: OwnershipParticipant, assignment: OwnershipAssignment): boolean {
  return isSameAssignment(party.assignment, assignment) && Object.keys(party.busy).length === 0
}

function createParty (assignment: OwnershipAssignment): OwnershipParticipant {
  return { assignment, busy: {}, silent: false }
}

function listNames (records: InstanceRecord[]): string[] {
  return records.map(record => record.instance).sort()
}

function rankEvenly (key: string, names: string[]): string[] {
  return rankByRendezvous(key, Object.fromEntries(names.map(name => [name, 1])))
}
