/**
 * Collects the evidence on which targets this instance has a network path to, checks the paths where they are in doubt,
 * and logs which groups of targets are out of reach.
 *
 * @module
 */
import type { AttemptPacer, PendingExchange, ReachChange, ReachReport, RegisteredTarget } from '@bilberryworks/steering'
import type { TargetPool } from '@bilberryworks/targets'
import type { EntryLog } from './entry_log.ts'
import type { EntryState } from './entry_state.ts'
import type { GroupDoubts } from './group_doubts.ts'
import type { ReportGroupCold } from './report_cold.ts'
import { advanceProbes, allGroupsUnreached, closeCircuits, createReach, formatReachGroup } from '@bilberryworks/steering'
import { ConnectionEvent } from '@bilberryworks/targets'
import { createGroupDoubts } from './group_doubts.ts'
import { createSilenceWatch } from './silence_watch.ts'

/** Options of {@linkcode createReachMonitor}. */
export interface CreateReachMonitorOptions {
  /** Replicated configuration and target registry. */
  state: EntryState
  /** Returns the connections to targets. */
  getPool: () => TargetPool
  /** Limits the connections without a request. */
  pacer: AttemptPacer
  /** Returns whether another live instance has a path to a group of targets, as far as is known. */
  isReachedByPeers: (group: string) => boolean
  /** Lists what the other live instances say of groups of targets. */
  listReports: () => ReachReport[]
  /** Lists the requests that wait for the response of a target. */
  listPending: () => PendingExchange[]
  /** Reports that targets count as cold from now on. */
  reportGroupCold: ReportGroupCold
  /** Called after groups have become lost or are reached again. */
  onChange: () => void
  /** Structured log. */
  log: EntryLog
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Reach of this instance. */
export interface ReachMonitor extends AsyncDisposable {
  /** Handles an event of a connection to a target. */
  handleConnectionEvent (event: ConnectionEvent, targetId: string): void
  /** Records that a request was sent, so that silence is noticed. */
  recordSend (): void
  /** Records that a part of a response was received. */
  recordResponse (entry: RegisteredTarget): void
  /** Records that a connection broke under a request. */
  recordLoss (entry: RegisteredTarget): void
  /** Starts the checks that are due; to be called at short intervals. */
  advance (): void
  /** Returns whether any group is lost. */
  hasLost (): boolean
  /** Returns whether this instance reaches the group of a target, by open connections at least. */
  isReached (entry: RegisteredTarget): boolean
  /** Returns whether another live instance reaches the group of a target. */
  isReachedByPeers (entry: RegisteredTarget): boolean
  /** Returns the monotonic time of the first failed connection to the group of a target since one was established, in milliseconds; `Infinity` if none has failed. */
  getFailingSinceMs (entry: RegisteredTarget): number
  /** Returns whether a connection to the group of a target has failed since one was established. */
  isDoubtful (entry: RegisteredTarget): boolean
  /** Returns whether a request to a target has to wait for a connection that can't be established. */
  needsConnection (entry: RegisteredTarget): boolean
  /** Returns whether an exchange in progress with a target can't be expected to end. */
  isStalled (entry: RegisteredTarget): boolean
  /** Returns the number of groups without a path. */
  countLost (): number
  /** Lists the groups without a path, for heartbeats. */
  listUnreached (): string[]
  /** Groups that other instances do not reach. */
  doubts: GroupDoubts
  /** Opens a connection to another target, in the failure domain of one that refuses connections if there is one, and returns whether that shows that the path works; `undefined` if `isPaced` held all of them back. */
  confirmPath (entry: RegisteredTarget, options: { isPaced: boolean }): Promise<boolean | undefined>
}

/** Time limit of a check, in milliseconds: three times the round trip between regions. */
const checkTimeoutMs = 350
/** Time after which a lost group that other instances still reach is ascribed to the path of this instance, in milliseconds: the others have then had time to notice a loss of the targets, and to tell. */
const ownLossMs = 1_500
/** Time for which the other instances are told of the loss of a group, in milliseconds: a heartbeat within a region. */
const minReportMs = 1_000
/** Number of other targets that are checked before a refused connection is ascribed to the path. */
const maxPathChecks = 3

/**
 * Creates a monitor for an instance that has just started.
 *
 * @param options Targets, connections, peers and log
 * @returns The monitor; dispose it to stop its timer
 */
export function createReachMonitor (options: CreateReachMonitorOptions): ReachMonitor {
  const { state, log, getNowMs } = options
  const reach = createReach()
  const silence = createSilenceWatch({ listPending: options.listPending, onSilence: handleSilence, getNowMs })
  /** Groups that are lost here; `isOwn` as long as they are, as far as is known, not at other instances. */
  const losses = new Map<string, { entries: RegisteredTarget[], failingSinceMs: number, lostAtMs: number, isOwn: boolean, areCircuitsClosed: boolean }>()
  /** Monotonic times at which groups were lost a short time ago, in milliseconds. */
  const recentLosses = new Map<string, number>()
  const doubts = createGroupDoubts({ ...options, listGroups, listTargets: listGroup, getContactMs: reach.getContactMs, isLost: group => losses.has(group), getColdForMs: ({ target }) => state.getConfig()?.services.get(target.service)?.coldForMs ?? 0 })

  function listTargets (): RegisteredTarget[] {
    return state.targets.listServices().flatMap(service => state.targets.list(service)).filter(({ target }) => !state.isEvacuated(target.failureDomain))
  }

  function advance (): void {
    const { checks, changes } = reach.advance(listTargets(), getNowMs())
    for (const change of changes) applyChange(change)
    startChecks(checks)
    // Deferred, since evidence is recorded while exchanges end.
    if (changes.length > 0) setImmediate(options.onChange)
  }

  function startChecks (entries: RegisteredTarget[]): void {
    for (const entry of entries) checkPath(entry).catch((error: Error) => log.warn('path_check_failed', { target: entry.target.id, detail: error.message }))
  }

  /** Opens a connection to a target unless that was tried too often. */
  async function checkPath (entry: RegisteredTarget): Promise<void> {
    if (options.pacer.take(entry.target.id, getNowMs())) await options.getPool().openIdle(entry.target, { timeoutMs: checkTimeoutMs })
    else reach.recordUnchecked(entry)
  }

  function isReachedByPeers ({ target }: RegisteredTarget): boolean {
    return options.isReachedByPeers(formatReachGroup(target))
  }

  function applyChange ({ service, failureDomain, isLost, entries, failingSinceMs }: ReachChange): void {
    const nowMs = getNowMs()
    log.info(isLost ? 'targets_unreached' : 'targets_reached', { service, failureDomain, targets: entries.length, failingForMs: Math.round(nowMs - failingSinceMs), isReachedByPeers: isReachedByPeers(entries[0]!) })
    const key = formatReachGroup({ service, failureDomain })
    if (isLost) recentLosses.set(key, nowMs)
    if (isLost) losses.set(key, { entries, failingSinceMs, lostAtMs: nowMs, isOwn: true, areCircuitsClosed: false })
    else {
      confirmOwnLosses(nowMs)
      const loss = losses.get(key)
      if (loss?.isOwn === true) closeCircuits(entries, { sinceMs: loss.failingSinceMs, nowMs })
      else if (loss !== undefined) advanceProbes(entries, { sinceMs: loss.failingSinceMs, nowMs })
      if (loss !== undefined) doubts.recordReturn(key)
      losses.delete(key)
    }
  }

  /** Notes which losses other instances have as well, which are those of the targets, and drops what was learnt of targets during the others. */
  function confirmOwnLosses (nowMs: number): void {
    for (const [key, loss] of losses) {
      loss.isOwn &&= options.isReachedByPeers(key)
      if (loss.isOwn && !loss.areCircuitsClosed && nowMs - loss.lostAtMs >= ownLossMs) {
        loss.areCircuitsClosed = true
        closeCircuits(loss.entries, { sinceMs: loss.failingSinceMs, nowMs })
      }
    }
  }

  /** Lists the groups that were lost a short time ago, so that the others hear of a loss however short it was. */
  function listRecentLosses (): string[] {
    for (const [group, lostAtMs] of recentLosses) if (getNowMs() - lostAtMs >= minReportMs) recentLosses.delete(group)
    return [...recentLosses.keys()]
  }

  function listGroups (): string[] {
    return [...new Set(listTargets().map(({ target }) => formatReachGroup(target)))]
  }

  function listGroup (group: string): RegisteredTarget[] {
    return listTargets().filter(({ target }) => formatReachGroup(target) === group)
  }

  function handleSilence (pending: number, limitMs: number): void {
    log.info('targets_silent', { pending, limitMs: Math.round(limitMs) })
    reach.recordSilence(getNowMs())
    advance()
  }

  return {
    handleConnectionEvent (event, targetId) {
      const entry = state.targets.find(targetId)
      if (entry === undefined) return
      if (event === ConnectionEvent.Established) {
        for (const failedId of reach.recordEstablished(entry, getNowMs())) options.getPool().closeIdle(failedId)
        if (reach.hasLost()) advance()
      } else if (event === ConnectionEvent.ConnectFailed) {
        reach.recordConnectFailure(entry, getNowMs())
        advance()
      } else if (event === ConnectionEvent.RefusedLocally) reach.recordUnchecked(entry)
    },
    recordSend: silence.recordSend,
    recordResponse (entry) {
      silence.recordResponse()
      reach.recordResponse(entry, getNowMs())
    },
    recordLoss (entry) {
      reach.recordLoss(entry, getNowMs())
      advance()
    },
    advance () {
      if (!reach.hasLost() && !reach.hasUnchecked()) return
      confirmOwnLosses(getNowMs())
      advance()
    },
    hasLost: reach.hasLost,
    isReached: entry => !reach.isLost(entry) || reach.isOpenWorking(entry),
    isReachedByPeers,
    getFailingSinceMs: reach.getFailingSinceMs,
    isDoubtful: reach.isDoubtful,
    needsConnection: entry => reach.isLost(entry) && !options.getPool().hasIdle(entry.target.id),
    isStalled: entry => reach.isStalled(entry, getNowMs()),
    countLost: () => reach.listLost().length,
    listUnreached () {
      const lost = new Set([...reach.listLost(), ...listRecentLosses()])
      if (lost.size === 0) return []
      return listGroups().every(group => lost.has(group)) ? [allGroupsUnreached] : [...lost]
    },
    doubts,
    async confirmPath (entry, { isPaced }) {
      const others = listTargets().filter(other => other !== entry)
      const nearby = others.filter(({ target }) => target.failureDomain === entry.target.failureDomain)
      const compared = nearby.length > 0 ? nearby : others
      return compared.length === 0 || openAny(options.getPool(), compared, target => !isPaced || options.pacer.take(target.id, getNowMs()))
    },
    [Symbol.asyncDispose]: silence[Symbol.asyncDispose]
  }
}

/** Opens connections to targets that may be tried, one after the other, until one is established; returns whether one was, `undefined` if none was tried. */
async function openAny (pool: TargetPool, entries: RegisteredTarget[], mayTry: (target: RegisteredTarget['target']) => boolean): Promise<boolean | undefined> {
  let checks = 0
  for (const { target } of entries) {
    if (checks >= maxPathChecks) break
    if (!mayTry(target)) continue
    checks++
    if (await pool.openIdle(target, { timeoutMs: checkTimeoutMs })) return true
  }
  return checks > 0 ? false : undefined
}
