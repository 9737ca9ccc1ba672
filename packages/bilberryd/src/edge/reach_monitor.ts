/**
 * Collects the evidence on which targets this instance has a network path to, checks the paths where they are in doubt,
 * and logs which groups of targets are out of reach.
 *
 * @module
 */
import type { PendingExchange, ReachChange, RegisteredTarget } from '@bilberryworks/steering'
import type { TargetPool } from '@bilberryworks/targets'
import type { EntryLog } from './entry_log.ts'
import type { EntryState } from './entry_state.ts'
import { allGroupsUnreached, createReach, createResponseSilence, formatReachGroup, closeCircuits } from '@bilberryworks/steering'
import { ConnectionEvent } from '@bilberryworks/targets'

/** Options of {@linkcode createReachMonitor}. */
export interface CreateReachMonitorOptions {
  /** Replicated configuration and target registry. */
  state: EntryState
  /** Returns the connections to targets. */
  getPool: () => TargetPool
  /** Returns whether another live instance has a path to a group of targets. */
  isReachedByPeers: (group: string) => boolean
  /** Lists the requests that wait for the response of a target. */
  listPending: () => PendingExchange[]
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
  /** Returns whether this instance is to send requests to a target itself: it reaches the group of the target, by open connections at least, or no other instance does. */
  isUsable (entry: RegisteredTarget): boolean
  /** Returns whether a request to a target has to wait for a connection that can't be established. */
  needsConnection (entry: RegisteredTarget): boolean
  /** Returns whether an exchange in progress with a target can't be expected to end. */
  isStalled (entry: RegisteredTarget): boolean
  /** Returns the number of groups without a path. */
  countLost (): number
  /** Lists the groups without a path, for heartbeats. */
  listUnreached (): string[]
  /** Opens a connection to another target, in the failure domain of one that refuses connections if there is one, and returns whether that shows that the path works. */
  confirmPath (entry: RegisteredTarget): Promise<boolean>
}

/** Time limit of a check, in milliseconds: three times the round trip between regions. */
const checkTimeoutMs = 350
/** Number of other targets that are checked before a refused connection is ascribed to the path. */
const maxPathChecks = 3
/** Time by which a timer may be late before the process counts as paused, in milliseconds; responses may then wait to be read. */
const maxTimerDelayMs = 150

/**
 * Creates a monitor for an instance that has just started.
 *
 * @param options Targets, connections, peers and log
 * @returns The monitor; dispose it to stop its timer
 */
export function createReachMonitor (options: CreateReachMonitorOptions): ReachMonitor {
  const { state, log, getNowMs } = options
  const reach = createReach()
  const silence = createResponseSilence(getNowMs())
  let silenceTimer: NodeJS.Timeout | undefined

  function listTargets (): RegisteredTarget[] {
    return state.targets.listServices().flatMap(service => state.targets.list(service)).filter(({ target }) => !state.isEvacuated(target.failureDomain))
  }

  function advance (): void {
    const { checks, changes } = reach.advance(listTargets(), getNowMs())
    for (const change of changes) applyChange(change)
    for (const { target } of checks) options.getPool().openIdle(target, { timeoutMs: checkTimeoutMs }).catch((error: Error) => log.warn('path_check_failed', { target: target.id, detail: error.message }))
    // Deferred, since evidence is recorded while exchanges end.
    if (changes.length > 0) setImmediate(options.onChange)
  }

  /** Logs a change, and drops what was learnt of the targets while the path was down, if other instances reach them. */
  function applyChange ({ service, failureDomain, isLost, entries, failingSinceMs }: ReachChange): void {
    const nowMs = getNowMs()
    const isReachedByPeers = options.isReachedByPeers(formatReachGroup({ service, failureDomain }))
    log.info(isLost ? 'targets_unreached' : 'targets_reached', { service, failureDomain, targets: entries.length, failingForMs: Math.round(nowMs - failingSinceMs), isReachedByPeers })
    if (isReachedByPeers) closeCircuits(entries, { sinceMs: failingSinceMs, nowMs })
  }

  function checkSilence (plannedAtMs: number): void {
    silenceTimer = undefined
    const nowMs = getNowMs()
    const pending = options.listPending()
    if (pending.length === 0) return
    const isLate = nowMs - plannedAtMs > maxTimerDelayMs
    if (!isLate && silence.isSilent(pending, nowMs)) {
      log.info('targets_silent', { pending: pending.length, limitMs: Math.round(silence.getLimitMs()) })
      reach.recordSilence(nowMs)
      advance()
    }
    startSilenceTimer()
  }

  function startSilenceTimer (): void {
    const limitMs = silence.getLimitMs()
    silenceTimer = setTimeout(checkSilence, limitMs, getNowMs() + limitMs)
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
      }
    },
    recordSend () {
      if (silenceTimer === undefined) startSilenceTimer()
    },
    recordResponse (entry) {
      silence.recordResponse(getNowMs())
      reach.recordResponse(entry, getNowMs())
    },
    recordLoss (entry) {
      reach.recordLoss(entry, getNowMs())
      advance()
    },
    advance () {
      if (reach.hasLost()) advance()
    },
    hasLost: reach.hasLost,
    isUsable: entry => !reach.isLost(entry) || reach.isOpenWorking(entry) || !options.isReachedByPeers(formatReachGroup(entry.target)),
    needsConnection: entry => reach.isLost(entry) && !options.getPool().hasIdle(entry.target.id),
    isStalled: entry => reach.isStalled(entry, getNowMs()),
    countLost: () => reach.listLost().length,
    listUnreached () {
      const lost = reach.listLost()
      if (lost.length === 0) return lost
      const groups = new Set(listTargets().map(({ target }) => formatReachGroup(target)))
      return lost.length === groups.size ? [allGroupsUnreached] : lost
    },
    async confirmPath (entry) {
      const others = listTargets().filter(other => other !== entry)
      const nearby = others.filter(({ target }) => target.failureDomain === entry.target.failureDomain)
      const compared = nearby.length > 0 ? nearby : others
      for (const { target } of compared.slice(0, maxPathChecks)) if (await options.getPool().openIdle(target, { timeoutMs: checkTimeoutMs })) return true
      return compared.length === 0
    },
    async [Symbol.asyncDispose] () {
      clearTimeout(silenceTimer)
    }
  }
}
