/**
 * Tells which targets an instance has a network path to, apart from the health of each target.
 *
 * Targets are grouped by service and failure domain. A group is lost when connections to five of its targets, or to all
 * of them if they are fewer, have failed since one to any of them was established: targets that were not tried are then
 * taken for out of reach, too. Each failed connection asks for checks of further targets of the group, each of which is a
 * connection without a request, so that a target that is down by itself does not make its group lost.
 *
 * When a group becomes lost, or no target responds any more, a sample of targets in other failure domains is checked. If all of
 * them fail, the path of this instance is down, and the groups that have sent nothing since are lost without checks of their own.
 *
 * Worst case of detection: the time limit of a check after the first failed connection for its group, and that time once more
 * for all others; after silence, the time limit of a check. A lost group is reached again after two connections in a row;
 * it is checked every 0.5 s at first, and every 2 s at last.
 *
 * @module
 */
import type { RegisteredTarget } from './target_registry.ts'
import { isTargetLeaving } from './target_registry.ts'

/** Change of the state of a group of targets. */
export interface ReachChange {
  /** Service of the group. */
  service: string
  /** Failure domain of the group. */
  failureDomain: string
  /** Whether the group is lost now. */
  isLost: boolean
  /** Targets of the group. */
  entries: RegisteredTarget[]
  /** Monotonic time of the first failed connection since one was established, in milliseconds. */
  failingSinceMs: number
}

/** What is to be done after evidence was recorded. */
export interface ReachPlan {
  /** Targets to which a connection is to be opened now; the result is to be recorded for each. */
  checks: RegisteredTarget[]
  /** Groups that have become lost or are reached again. */
  changes: ReachChange[]
}

/** Reach of an instance. */
export interface Reach {
  /** Records that a connection to a target was established; returns the identifiers of the targets of its group to which connections had failed, which are down by themselves. */
  recordEstablished (entry: RegisteredTarget, nowMs: number): string[]
  /** Records that a connection to a target could not be established. */
  recordConnectFailure (entry: RegisteredTarget, nowMs: number): void
  /** Records that a check of a target was not made, or has shown nothing of the path; it is due again at the next evaluation. */
  recordUnchecked (entry: RegisteredTarget): void
  /** Returns whether checks that were not made are due again. */
  hasUnchecked (): boolean
  /** Records that a target has sent a part of a response. */
  recordResponse (entry: RegisteredTarget, nowMs: number): void
  /** Records that a connection broke while a target had a request. */
  recordLoss (entry: RegisteredTarget, nowMs: number): void
  /** Records that no target responds although several have requests. */
  recordSilence (nowMs: number): void
  /** Returns whether a connection to the group of a target has failed since one was established. */
  isDoubtful (entry: RegisteredTarget): boolean
  /** Evaluates the evidence; to be called after failures, at the end of each check, and at short intervals while a group is lost. */
  advance (entries: readonly RegisteredTarget[], nowMs: number): ReachPlan
  /** Returns whether any group is lost. */
  hasLost (): boolean
  /** Lists the keys of the lost groups. */
  listLost (): string[]
  /** Returns whether no connection to a target can be established. */
  isLost (entry: RegisteredTarget): boolean
  /** Returns the monotonic time of the first failed connection to the group of a target since one was established, in milliseconds; `Infinity` if none has failed. */
  getFailingSinceMs (entry: RegisteredTarget): number
  /** Returns whether connections to the group of a target that were open before it was lost still carry responses. */
  isOpenWorking (entry: RegisteredTarget): boolean
  /** Returns whether a request that was sent to a target before its group was lost can't be expected to get a response. */
  isStalled (entry: RegisteredTarget, nowMs: number): boolean
  /** Returns the monotonic time at which a target of a group last accepted a connection or sent a part of a response, in milliseconds; `-Infinity` if none has. */
  getContactMs (group: string): number
}

/** Number of targets of a group to which connections must fail before it is lost; all of them if they are fewer. */
const decidingTargets = 5
/** Number of failed connections before a group is lost, if it has fewer targets. */
const minFailures = 2
/** Number of connections in a row by which a lost group is reached again. */
const decidingConnections = 2
/** Time after which a failed connection is no longer evidence, in milliseconds: several times what a check takes. */
const evidenceLifetimeMs = 5_000
/** Minimum time between two checks of a group that is reached, in milliseconds. */
const minCheckPauseMs = 500
/** Maximum time between two checks of a lost group, in milliseconds. */
const maxCheckPauseMs = 2_000
/** Factor by which the time between checks of a lost group grows. */
const checkPauseGrowth = 1.5
/** Number of targets in a sample. */
const sampleSize = 3
/** Number of failure domains that a sample must cover, if there are that many. */
const minSampledDomains = 2
/** Minimum time between two samples, in milliseconds. */
const minSamplePauseMs = 1_000
/** Time for which a request for a sample holds while no group is silent, in milliseconds. */
const sampleRequestMs = 1_500
/** Age of the last response or connection above which a group counts as silent when another one has become lost, in milliseconds. */
const staleMs = 300
/** Time after the first failed connection within which responses may still be in transit, in milliseconds: more than the latency between regions. */
const inTransitMs = 150

interface GroupState {
  key: string
  service: string
  failureDomain: string
  isLost: boolean
  /** Whether a sample has shown that the path of this instance is down. */
  isPathDown: boolean
  /** Targets whose connections have failed since one to the group was established. */
  failed: Set<string>
  failures: number
  failingSinceMs: number
  lastFailureAtMs: number
  establishedAtMs: number
  respondedAtMs: number
  /** Time of the last loss of a connection under a request, or silence. */
  brokenAtMs: number
  silentAtMs: number
  /** Targets that are being checked. */
  checking: Set<string>
  /** Whether checks are to be started as soon as possible. */
  wantsChecks: boolean
  checkedAtMs: number
  checkPauseMs: number
  /** Target to which the last connection was established while the group was lost. */
  passedTarget: string | undefined
  /** Number of connections that were established in a row while the group was lost. */
  passes: number
  /** Number of checks so far, which selects the next target. */
  checkCount: number
}

/**
 * Formats the key of the group that a target belongs to.
 *
 * @param target The target
 * @returns Service and failure domain, separated by a slash
 */
export function formatReachGroup ({ service, failureDomain }: { service: string, failureDomain: string }): string {
  return `${service}/${failureDomain}`
}

/**
 * Returns whether the end of an outage may be expected while a request waits. As outages last from less than a second to
 * hours, one is expected to last as long again as it has lasted.
 *
 * @param outageMs Time for which the targets have been out of reach of all instances, in milliseconds
 * @param waitMs Time for which the request may wait, in milliseconds
 * @returns `true` if the request is to wait
 */
export function isReturnExpected (outageMs: number, waitMs: number): boolean {
  return outageMs <= waitMs
}

/**
 * Creates the reach of an instance that has just started, which counts all groups as reached.
 *
 * @returns The reach
 */
export function createReach (): Reach {
  const groups = new Map<string, GroupState>()
  const groupsByEntry = new WeakMap<RegisteredTarget, GroupState>()
  const sampler = createPathSampler()
  let lostCount = 0
  let hasUnchecked = false

  function getGroup (entry: RegisteredTarget): GroupState {
    const { service, failureDomain } = entry.target
    const known = groupsByEntry.get(entry)
    if (known?.failureDomain === failureDomain && groups.get(known.key) === known) return known
    const key = formatReachGroup({ service, failureDomain })
    const group = groups.get(key) ?? createGroup(key, { service, failureDomain })
    groups.set(key, group)
    groupsByEntry.set(entry, group)
    return group
  }

  /** Marks the groups that have been silent since before the sample, all of which failed. */
  function markPathDown (nowMs: number): void {
    for (const group of sampler.listSilent()) {
      if (group.isLost || !isSilentSince(group, sampler.getStartMs())) continue
      if (group.failures === 0) group.failingSinceMs = nowMs
      group.isPathDown = true
    }
  }

  function advanceGroup (group: GroupState, entries: RegisteredTarget[], nowMs: number): ReachPlan {
    const wasLost = group.isLost
    if (!wasLost && (group.isPathDown || (group.failures >= minFailures && group.failed.size >= Math.min(decidingTargets, entries.length)))) {
      if (!group.isPathDown) sampler.request(nowMs)
      group.isLost = true
      group.isPathDown = false
      group.checkPauseMs = minCheckPauseMs
    } else if (wasLost && group.passes >= decidingConnections) {
      group.isLost = false
      dropFailures(group)
    } else if (!wasLost && group.failures > 0 && nowMs - group.lastFailureAtMs > evidenceLifetimeMs) {
      dropFailures(group)
    }
    const checks = takeChecks(group, entries, nowMs)
    if (group.isLost === wasLost) return { checks, changes: [] }
    lostCount += group.isLost ? 1 : -1
    const { service, failureDomain, isLost, failingSinceMs } = group
    return { checks, changes: [{ service, failureDomain, isLost, entries, failingSinceMs }] }
  }

  function removeGroupsExcept (present: ReadonlyMap<GroupState, unknown>): void {
    for (const [key, group] of groups) {
      if (present.has(group)) continue
      groups.delete(key)
      if (group.isLost) lostCount--
    }
  }

  return {
    recordEstablished (entry, nowMs) {
      const group = getGroup(entry)
      group.establishedAtMs = nowMs
      group.checking.delete(entry.target.id)
      group.isPathDown = false
      sampler.drop()
      if (!group.isLost) {
        const failed = [...group.failed]
        dropFailures(group)
        return failed
      }
      group.passedTarget = entry.target.id
      group.passes++
      group.wantsChecks = true
      return []
    },
    recordConnectFailure (entry, nowMs) {
      addFailure(getGroup(entry), entry.target.id, nowMs)
      if (sampler.recordFailure(entry.target.id)) markPathDown(nowMs)
    },
    recordUnchecked (entry) {
      if (dropCheck(getGroup(entry), entry.target.id)) hasUnchecked = true
      sampler.dropIfPending(entry.target.id)
    },
    hasUnchecked: () => hasUnchecked,
    recordResponse (entry, nowMs) {
      getGroup(entry).respondedAtMs = nowMs
    },
    recordLoss (entry, nowMs) {
      const group = getGroup(entry)
      group.brokenAtMs = nowMs
      if (!group.isLost) group.wantsChecks = true
    },
    recordSilence (nowMs) {
      sampler.request(nowMs)
      for (const group of groups.values()) {
        group.brokenAtMs = nowMs
        group.silentAtMs = nowMs
      }
    },
    advance (entries, nowMs) {
      hasUnchecked = false
      const members = new Map<GroupState, RegisteredTarget[]>()
      for (const entry of entries) {
        if (isTargetLeaving(entry)) continue
        const group = getGroup(entry)
        const list = members.get(group)
        if (list === undefined) members.set(group, [entry])
        else list.push(entry)
      }
      removeGroupsExcept(members)
      const plans = [...members].map(([group, list]) => advanceGroup(group, list, nowMs))
      return { checks: [...plans.flatMap(plan => plan.checks), ...sampler.take(members, nowMs)], changes: plans.flatMap(plan => plan.changes) }
    },
    isDoubtful: entry => getGroup(entry).failures > 0 || getGroup(entry).isLost,
    hasLost: () => lostCount > 0,
    listLost: () => [...groups.values()].filter(group => group.isLost).map(group => group.key),
    isLost: entry => lostCount > 0 && getGroup(entry).isLost,
    getFailingSinceMs: entry => getGroup(entry).failingSinceMs,
    isOpenWorking: entry => isOpenWorking(getGroup(entry)),
    isStalled (entry, nowMs) {
      const group = getGroup(entry)
      return group.isLost && !isOpenWorking(group) && (group.silentAtMs > group.respondedAtMs || nowMs - group.failingSinceMs >= staleMs)
    },
    getContactMs (key) {
      const group = groups.get(key)
      return group === undefined ? -Infinity : Math.max(group.establishedAtMs, group.respondedAtMs)
    }
  }
}

/** Takes samples of targets in several failure domains, to tell whether the path of this instance is down. */
interface PathSampler {
  /** Requests a sample, which is taken as soon as there are silent groups. */
  request (nowMs: number): void
  /** Selects the targets of a sample that was requested, and marks them as being checked. */
  take (members: ReadonlyMap<GroupState, RegisteredTarget[]>, nowMs: number): RegisteredTarget[]
  /** Records a failed check; returns whether that was the last one of the sample. */
  recordFailure (targetId: string): boolean
  /** Drops the sample, since a connection was established. */
  drop (): void
  /** Drops the sample if the check of a target is part of it, since it has shown nothing. */
  dropIfPending (targetId: string): void
  /** Returns the monotonic time at which the last sample was taken, in milliseconds. */
  getStartMs (): number
  /** Lists the groups that were silent then. */
  listSilent (): GroupState[]
}

function createPathSampler (): PathSampler {
  /** Targets of the sample whose checks have not ended. */
  const pending = new Set<string>()
  let requestedAtMs = -Infinity
  let startedAtMs = -Infinity
  let silentGroups: GroupState[] = []
  let count = 0

  /** Selects targets of silent groups, no two of which are in the same failure domain; none if they are in one of several failure domains only. */
  function selectTargets (members: ReadonlyMap<GroupState, RegisteredTarget[]>, silent: GroupState[]): Array<[GroupState, RegisteredTarget]> {
    const selected = new Map<string, [GroupState, RegisteredTarget]>()
    for (let index = 0; index < silent.length && selected.size < sampleSize; index++) {
      const group = silent[(count + index) % silent.length]!
      const entries = members.get(group)!
      if (group.checking.size === 0 && !selected.has(group.failureDomain)) selected.set(group.failureDomain, [group, entries[count % entries.length]!])
    }
    const failureDomains = new Set([...members.keys()].map(group => group.failureDomain)).size
    return selected.size < Math.min(minSampledDomains, failureDomains) ? [] : [...selected.values()]
  }

  return {
    request (nowMs) {
      requestedAtMs = nowMs
    },
    take (members, nowMs) {
      if (nowMs - requestedAtMs > sampleRequestMs || nowMs - startedAtMs < minSamplePauseMs) return []
      const silent = [...members.keys()].filter(group => !group.isLost && isSilentSince(group, nowMs - staleMs))
      const selected = selectTargets(members, silent)
      if (selected.length === 0) return []
      silentGroups = silent
      count++
      startedAtMs = nowMs
      requestedAtMs = -Infinity
      pending.clear()
      for (const [group, { target }] of selected) {
        pending.add(target.id)
        group.checking.add(target.id)
      }
      return selected.map(([, entry]) => entry)
    },
    recordFailure: targetId => pending.delete(targetId) && pending.size === 0,
    drop: () => pending.clear(),
    dropIfPending (targetId) {
      if (pending.has(targetId)) pending.clear()
    },
    getStartMs: () => startedAtMs,
    listSilent: () => silentGroups
  }
}

function createGroup (key: string, { service, failureDomain }: { service: string, failureDomain: string }): GroupState {
  return {
    key,
    service,
    failureDomain,
    isLost: false,
    isPathDown: false,
    failed: new Set(),
    failures: 0,
    failingSinceMs: Infinity,
    lastFailureAtMs: -Infinity,
    establishedAtMs: -Infinity,
    respondedAtMs: -Infinity,
    brokenAtMs: -Infinity,
    silentAtMs: -Infinity,
    checking: new Set(),
    wantsChecks: false,
    checkedAtMs: -Infinity,
    checkPauseMs: minCheckPauseMs,
    passedTarget: undefined,
    passes: 0,
    checkCount: 0
  }
}

function isSilentSince ({ establishedAtMs, respondedAtMs }: GroupState, sinceMs: number): boolean {
  return Math.max(establishedAtMs, respondedAtMs) < sinceMs
}

function isOpenWorking ({ respondedAtMs, failingSinceMs, brokenAtMs }: GroupState): boolean {
  return respondedAtMs > failingSinceMs + inTransitMs && respondedAtMs > brokenAtMs
}

function addFailure (group: GroupState, targetId: string, nowMs: number): void {
  group.checking.delete(targetId)
  if (group.failures === 0) group.failingSinceMs = nowMs
  group.failures++
  group.failed.add(targetId)
  group.lastFailureAtMs = nowMs
  if (!group.isLost) group.wantsChecks = true
  else if (group.passedTarget === targetId) dropPasses(group)
}

/** Drops a check that has shown nothing, which is due again if a connection has failed; returns whether there was one. */
function dropCheck (group: GroupState, targetId: string): boolean {
  if (!group.checking.delete(targetId)) return false
  if (!group.isLost && group.failures > 0) group.wantsChecks = true
  return true
}

function dropFailures (group: GroupState): void {
  group.failed.clear()
  group.failures = 0
  group.failingSinceMs = Infinity
  group.wantsChecks = false
  dropPasses(group)
}

function dropPasses (group: GroupState): void {
  group.passedTarget = undefined
  group.passes = 0
}

/** Selects the targets of a group to be checked now, and marks them as being checked. */
function takeChecks (group: GroupState, entries: RegisteredTarget[], nowMs: number): RegisteredTarget[] {
  for (const id of group.checking) if (!entries.some(({ target }) => target.id === id)) group.checking.delete(id)
  if (group.checking.size > 0 || !isCheckDue(group, nowMs)) return []
  const checks = group.isLost ? selectRepeatedCheck(group, entries) : selectFirstChecks(group, entries)
  group.checkCount += checks.length
  group.wantsChecks = false
  group.checkedAtMs = nowMs
  if (group.isLost) group.checkPauseMs = Math.min(maxCheckPauseMs, group.checkPauseMs * checkPauseGrowth)
  for (const { target } of checks) group.checking.add(target.id)
  return checks
}

function isCheckDue (group: GroupState, nowMs: number): boolean {
  const elapsedMs = nowMs - group.checkedAtMs
  if (group.isLost) return group.passes > 0 || elapsedMs >= group.checkPauseMs
  // A failed connection is checked on at once; other suspicions are not evidence, and may recur often.
  return group.wantsChecks && (group.failures > 0 || elapsedMs >= minCheckPauseMs)
}

/** Selects as many targets as have to fail before the group is lost. */
function selectFirstChecks ({ failed, checkCount }: GroupState, entries: RegisteredTarget[]): RegisteredTarget[] {
  const untried = entries.filter(({ target }) => !failed.has(target.id))
  const eligible = untried.length > 0 ? untried : entries
  const missing = Math.max(1, Math.min(decidingTargets, entries.length) - failed.size)
  return Array.from({ length: Math.min(missing, eligible.length) }, (_, index) => eligible[(checkCount + index) % eligible.length]!)
}

/** Selects the target to which a connection was just established, otherwise the next one. */
function selectRepeatedCheck ({ passedTarget, checkCount }: GroupState, entries: RegisteredTarget[]): RegisteredTarget[] {
  return [entries.find(({ target }) => target.id === passedTarget) ?? entries[checkCount % entries.length]!]
}
