/**
 * Steers each attempt to a target: waits for room, sends, sends again where that is allowed, and ends it.
 *
 * @module
 */
import type { BookedTarget, EntrySettings, PlacedRequest, Refusal, RepeatBudget, WaitingRequests } from '@bilberryworks/steering'
import type { AnswerHead, TargetPool } from '@bilberryworks/targets'
import type { AnswerWriter } from './answer_writer.ts'
import type { Attempt } from './attempt.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryMetrics } from './entry_metrics.ts'
import type { EntryState } from './entry_state.ts'
import { writeRefusal } from '@bilberryworks/callers'
import { choosePlacement, coldGapMs, createNotRun, createRepeatBudget, createUnknown, createWaitingRequests, isColdSender, isTargetUsable, Outcome, rankTargets, recordTargetEnd, recordTargetLoad, recordTargetStart, RefusalReason, RetryReason, RouteKind, TargetSignal } from '@bilberryworks/steering'
import { ExchangeFailure } from '@bilberryworks/targets'
import { formatRetryAfter, readAnswerFields } from '@bilberryworks/users-platform'
import { createAnswerWriter } from './answer_writer.ts'
import { AttemptPhase } from './attempt.ts'
import { RequestStage } from './entry_metrics.ts'
import { buildRequestHead } from './request_head.ts'
import { createBodySender } from './send_body.ts'

/** Steers attempts. */
export interface SteeringDesk {
  /** Takes an attempt whose body has been gathered, or that has none. */
  submit (attempt: Attempt): void
  /** Ends an attempt without an answer of a target. */
  refuse (attempt: Attempt, refusal: Refusal): void
  /** Ends an attempt whose caller is gone. */
  abandon (attempt: Attempt): void
  /** Ends an attempt whose time is over. */
  expire (attempt: Attempt): void
  /** Looks again whether waiting requests find room. */
  placeWaiting (): void
  /** Counts the requests that wait. */
  countWaiting (): number
  /** Counts the requests at targets. */
  countInFlight (): number
}

/** Options of {@linkcode createSteeringDesk}. */
export interface CreateSteeringDeskOptions {
  /** Settings of the instance. */
  settings: EntrySettings
  /** What the instance believes. */
  state: EntryState
  /** Connections to targets. */
  pool: TargetPool
  /** Log of decisions. */
  log: EntryLog
  /** Metrics. */
  metrics: EntryMetrics
  /** Names of the instances that are live, this one among them. */
  listInstances: () => string[]
  /** Returns the largest number of instances that may be there. */
  countInstances: () => number
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Share of its time that a request may wait for room; the rest is for its work. */
const waitShare = 0.3
/** Time after which a refused caller may come back, in milliseconds: about the time in which the requests that filled the targets end. */
const overloadRetryMs = 1_000
/** Time after which a caller may come back where no target is known, in milliseconds: about the time in which one registers. */
const noTargetRetryMs = 1_000
/** Least time that is left for work at a target when a request is sent, in milliseconds: less is no more than the way there. */
const minWorkMs = 20
/** Statuses that promise that nothing ran, which an instance can't pass on from a target that does not say so. */
const promiseStatuses = new Set([408, 421, 429, 503])
/** Longest time between two looks at waiting requests, in milliseconds: load reports age meanwhile. */
const waitingCheckMs = 50
/** Most rankings that are kept. */
const maxRankings = 4_000

/**
 * Creates the desk.
 *
 * @param options What it decides from, and where it sends
 * @returns The desk
 */
export function createSteeringDesk (options: CreateSteeringDeskOptions): SteeringDesk {
  const { settings, state, pool, log, metrics, getNowMs, getRandom } = options
  const { bounds } = settings
  const waitingByService = new Map<string, WaitingRequests<Attempt>>()
  const budgets = new Map<string, RepeatBudget>()
  const rankings = new Map<string, BookedTarget[]>()
  let rankingsRevision = -1
  let inFlight = 0
  let checkTimer: NodeJS.Timeout | undefined

  function getWaiting (service: string): WaitingRequests<Attempt> {
    let waiting = waitingByService.get(service)
    if (waiting === undefined) {
      waiting = createWaitingRequests<Attempt>()
      waitingByService.set(service, waiting)
    }
    return waiting
  }

  function getBudget (service: string): RepeatBudget {
    let budget = budgets.get(service)
    if (budget === undefined) {
      budget = createRepeatBudget({ ratio: bounds.retryRatio, slack: bounds.retrySlack, windowMs: bounds.budgetWindowMs, getInstances: options.countInstances })
      budgets.set(service, budget)
    }
    return budget
  }

  function isEligible (entry: BookedTarget, request: PlacedRequest): boolean {
    const { target, region } = entry
    return !target.leaving && !state.isEvacuated(target.failureDomain) && (request.homeRegions.length === 0 || request.homeRegions.includes(region))
  }

  function getRanked (request: PlacedRequest): BookedTarget[] {
    if (rankingsRevision !== state.getRevision() || rankings.size > maxRankings) {
      rankings.clear()
      rankingsRevision = state.getRevision()
    }
    const key = `${request.service}\u0000${request.homeRegions.join(',')}\u0000${request.objectKey ?? ''}`
    let ranked = rankings.get(key)
    if (ranked === undefined) {
      ranked = rankTargets(request.objectKey ?? '', state.book.list(request.service).filter(entry => isEligible(entry, request)))
      rankings.set(key, ranked)
    }
    return ranked
  }

  function isUsable (entry: BookedTarget, nowMs: number): boolean {
    if (!isTargetUsable(entry, nowMs)) return false
    if (entry.coldUntilMs <= nowMs) return true
    const terms = state.getConfig()?.services.get(entry.target.service)
    const perSecond = terms?.coldRequestsPerSecond ?? 0
    const pace = { perSecond, mostInSecond: perSecond * bounds.coldOver + bounds.coldSlack }
    return nowMs - entry.coldSentAtMs >= coldGapMs && isColdSender(settings.instance, options.listInstances(), { targetId: entry.target.id, pace })
  }

  function place (attempt: Attempt): BookedTarget | undefined {
    const nowMs = getNowMs()
    return choosePlacement(attempt, { ranked: getRanked(attempt), isUsable: entry => isUsable(entry, nowMs), nowMs })
  }

  function enqueue (attempt: Attempt): void {
    if (getRanked(attempt).every(entry => attempt.tried.has(entry.target.id))) {
      refuse(attempt, createNotRun(RefusalReason.NoUsableTarget, `No target of "${attempt.service}" takes requests`, noTargetRetryMs))
      return
    }
    attempt.phase = AttemptPhase.Waiting
    getWaiting(attempt.service).add(attempt)
    placeService(attempt.service)
  }

  function placeService (service: string): void {
    const waiting = getWaiting(service)
    for (const { request, placed } of waiting.takePlaced(attempt => {
      const entry = place(attempt)
      // Counted at once, so that the next request sees the room that is left.
      if (entry !== undefined) recordTargetStart(entry, getNowMs())
      return entry
    })) send(request, placed)
    for (const attempt of waiting.takeExpired(getNowMs())) {
      refuse(attempt, createNotRun(RefusalReason.Overloaded, 'No slot was free in time', overloadRetryMs))
    }
    scheduleCheck()
  }

  function placeWaiting (): void {
    for (const [service, waiting] of waitingByService) if (waiting.count() > 0) placeService(service)
  }

  function scheduleCheck (): void {
    if (checkTimer !== undefined || countWaiting() === 0) return
    checkTimer = setTimeout(() => {
      checkTimer = undefined
      placeWaiting()
    }, waitingCheckMs)
  }

  function countWaiting (): number {
    let count = 0
    for (const waiting of waitingByService.values()) count += waiting.count()
    return count
  }

  function send (attempt: Attempt, entry: BookedTarget): void {
    const nowMs = getNowMs()
    const timeLeftMs = attempt.finalAtMs - nowMs
    if (timeLeftMs < minWorkMs) {
      releaseTarget(entry, TargetSignal.Ended)
      refuse(attempt, createNotRun(RefusalReason.DeadlinePassed, 'Deadline passed before the request was sent', overloadRetryMs))
      return
    }
    const { target } = entry
    attempt.phase = AttemptPhase.Sent
    attempt.entry = entry
    attempt.sentAtMs = nowMs
    attempt.tried.add(target.id)
    inFlight++
    metrics.recordStage(RequestStage.Queue, attempt.route.name, nowMs - attempt.arrivedAtMs)
    let writer: AnswerWriter | undefined
    let isNotRun = false
    let isFailed = false
    attempt.exchange = pool.send(target, {
      head: buildRequestHead(attempt, { targetId: target.id, timeLeftMs }),
      ...attempt.body === undefined ? {} : { writeBody: createBodySender(attempt.message, attempt.body, createBodyOptions(attempt)) },
      isBodiless: attempt.message.method === 'HEAD',
      isOwnAnswer: head => readAnswerFields(head.status, head.fields).attemptId === attempt.attemptId,
      onSent () {
        attempt.mayHaveRun = true
      },
      onHead (head) {
        const fields = readAnswerFields(head.status, head.fields)
        metrics.recordStage(RequestStage.FirstByte, attempt.route.name, getNowMs() - attempt.sentAtMs)
        if (fields.load !== undefined) recordTargetLoad(entry, fields.load, getNowMs())
        isNotRun = fields.isNotRun
        isFailed = !isNotRun && isFailure(attempt, head, fields.isSigned)
        if (!isNotRun && !isFailed) writer = createAnswerWriter(attempt.response, head, { onCommit: () => { attempt.phase = AttemptPhase.Answering }, setPaused: paused => attempt.exchange?.setPaused(paused) })
      },
      onBody: part => writer?.write(part),
      onEnd () {
        if (isNotRun) finishNotRun(attempt, entry)
        else if (isFailed) finishLost(attempt, entry, { signal: TargetSignal.Answered, detail: 'Target answered with a failure' })
        else finishAnswered(attempt, entry, writer!)
      },
      onFail (failure, detail) {
        if (writer?.isCommitted() === true) finishBroken(attempt, entry, detail)
        else if (failure === ExchangeFailure.ConnectFailed) finishUnsent(attempt, entry, detail)
        else finishLost(attempt, entry, { signal: TargetSignal.Lost, detail })
      }
    })
  }

  /** Tells whether an answer is withheld: a success that can't be the target's own, a promise that it did not make, or a failure that may be repeated. */
  function isFailure (attempt: Attempt, head: AnswerHead, isSigned: boolean): boolean {
    if (head.status < 300) return !isSigned
    if (promiseStatuses.has(head.status)) return true
    return head.status >= 500 && attempt.route.kind === RouteKind.Safe && attempt.tried.size < attempt.route.maxAttempts
  }

  function createBodyOptions (attempt: Attempt): { onSpent: () => void, onTooLong: () => void, maxBytes: number } {
    return {
      maxBytes: state.getConfig()?.limits.maxBodyBytes ?? Infinity,
      onSpent () {
        attempt.isBodySpent = true
      },
      onTooLong () {
        attempt.exchange?.cancel()
        if (attempt.entry !== undefined) releaseTarget(attempt.entry, TargetSignal.Ended)
        refuse(attempt, createUnknown(RefusalReason.BodyTooLarge, 'Body grew longer than its bound'))
      }
    }
  }

  function releaseTarget (entry: BookedTarget, signal: TargetSignal): void {
    const coldForMs = state.getConfig()?.services.get(entry.target.service)?.coldForMs ?? 0
    recordTargetEnd(entry, signal, { nowMs: getNowMs(), getRandom, coldForMs })
  }

  /** Frees the target of the exchange that has ended, and lets waiting requests have its room. */
  function leaveTarget (attempt: Attempt, entry: BookedTarget, signal: TargetSignal): void {
    inFlight--
    attempt.exchange = undefined
    attempt.entry = undefined
    releaseTarget(entry, signal)
    if (signal !== TargetSignal.Answered) log.info('exchange_failed', { id: attempt.attemptId, target: entry.target.id, signal, elapsedMs: Math.round(getNowMs() - attempt.sentAtMs), inFlight: entry.inFlight, othersBusy: entry.othersBusy })
  }

  function finishAnswered (attempt: Attempt, entry: BookedTarget, writer: AnswerWriter): void {
    leaveTarget(attempt, entry, TargetSignal.Answered)
    writer.end()
    metrics.countAnswered(attempt.route.name)
    end(attempt, Outcome.Answered)
    placeService(attempt.service)
  }

  function finishBroken (attempt: Attempt, entry: BookedTarget, detail: string): void {
    leaveTarget(attempt, entry, TargetSignal.Lost)
    metrics.countBroken()
    log.warn('answer_broken', { id: attempt.attemptId, target: entry.target.id, detail })
    end(attempt, Outcome.Unknown)
    attempt.response.destroy()
    placeService(attempt.service)
  }

  function finishUnsent (attempt: Attempt, entry: BookedTarget, detail: string): void {
    leaveTarget(attempt, entry, TargetSignal.ConnectFailed)
    attempt.lastReason = RefusalReason.TargetUnreachable
    pool.dropIdle(entry.target.id)
    repeat(attempt, { reason: RetryReason.ConnectFailed, isArrival: false, detail })
  }

  function finishNotRun (attempt: Attempt, entry: BookedTarget): void {
    leaveTarget(attempt, entry, TargetSignal.Refused)
    attempt.mayHaveRun = false
    attempt.lastReason = RefusalReason.TargetRefused
    repeat(attempt, { reason: RetryReason.TargetRefused, isArrival: true, detail: 'Target refused the request' })
  }

  function finishLost (attempt: Attempt, entry: BookedTarget, end: { signal: TargetSignal, detail: string }): void {
    leaveTarget(attempt, entry, end.signal)
    attempt.lastReason = RefusalReason.TargetLost
    if (attempt.route.kind === RouteKind.Safe) repeat(attempt, { reason: RetryReason.IdempotentLost, isArrival: true, detail: end.detail })
    else refuse(attempt, createUnknown(RefusalReason.TargetLost, end.detail))
    placeService(attempt.service)
  }

  /** Sends a request to a further target where its route, its time and the budget allow it; else ends it. */
  function repeat (attempt: Attempt, cause: { reason: RetryReason, isArrival: boolean, detail: string }): void {
    const nowMs = getNowMs()
    const isAllowed = !attempt.isBodySpent && attempt.tried.size < attempt.route.maxAttempts && attempt.finalAtMs - nowMs > minWorkMs
    if (isAllowed && (!cause.isArrival || getBudget(attempt.service).take(nowMs))) {
      metrics.countRetry(cause.reason)
      log.info('retry', { id: attempt.attemptId, reason: cause.reason, detail: cause.detail, tried: attempt.tried.size })
      enqueue(attempt)
      return
    }
    endUnserved(attempt, cause.detail)
  }

  /** Ends a request that no target answered, truly as to whether it may have run. */
  function endUnserved (attempt: Attempt, detail: string): void {
    const reason = attempt.lastReason ?? RefusalReason.Overloaded
    if (attempt.mayHaveRun) refuse(attempt, createUnknown(RefusalReason.TargetLost, detail))
    else refuse(attempt, createNotRun(reason, detail, overloadRetryMs))
  }

  function refuse (attempt: Attempt, refusal: Refusal): void {
    if (attempt.phase === AttemptPhase.Ended) return
    // An earlier target may have run it, so that the promise of a plain refusal would not hold.
    const truthful = attempt.mayHaveRun && refusal.outcome === Outcome.NotRun ? createUnknown(RefusalReason.TargetLost, refusal.detail) : refusal
    metrics.countRefused(attempt.route.name, truthful.outcome, truthful.reason)
    writeRefusal(attempt.response, truthful, formatRetryAfter)
    end(attempt, truthful.outcome, truthful)
  }

  function end (attempt: Attempt, outcome: Outcome, refusal?: Refusal): void {
    attempt.phase = AttemptPhase.Ended
    clearTimeout(attempt.timer)
    const elapsedMs = getNowMs() - attempt.arrivedAtMs
    metrics.recordStage(RequestStage.Whole, attempt.route.name, elapsedMs)
    if (refusal === undefined && attempt.tried.size <= 1 && elapsedMs <= attempt.route.objectiveMs) return
    log.info('request_ended', {
      id: attempt.attemptId, route: attempt.route.name, service: attempt.service, config: attempt.version, object: attempt.objectKey, outcome,
      reason: refusal?.reason, detail: refusal?.detail, retryAfterMs: refusal?.retryAfterMs, tried: [...attempt.tried],
      elapsedMs: Math.round(elapsedMs), leftMs: Math.round(attempt.finalAtMs - getNowMs()), waiting: countWaiting(), inFlight
    })
  }

  /** Breaks off the exchange under way, if any, and takes the attempt out of the queue. */
  function detachAttempt (attempt: Attempt): void {
    const { entry, exchange } = attempt
    if (attempt.phase === AttemptPhase.Waiting) getWaiting(attempt.service).remove(attempt.attemptId)
    if (entry === undefined || exchange === undefined) return
    exchange.cancel()
    leaveTarget(attempt, entry, TargetSignal.Ended)
  }

  return {
    submit (attempt) {
      getBudget(attempt.service).recordRequest(getNowMs())
      attempt.refuseAtMs = attempt.arrivedAtMs + (attempt.finalAtMs - attempt.arrivedAtMs) * waitShare
      enqueue(attempt)
    },
    refuse,
    abandon (attempt) {
      if (attempt.phase === AttemptPhase.Ended) return
      detachAttempt(attempt)
      metrics.countRefused(attempt.route.name, attempt.mayHaveRun ? Outcome.Unknown : Outcome.NotRun, RefusalReason.CallerGone)
      end(attempt, attempt.mayHaveRun ? Outcome.Unknown : Outcome.NotRun, createNotRun(RefusalReason.CallerGone, 'Caller closed the connection'))
      placeService(attempt.service)
    },
    expire (attempt) {
      if (attempt.phase === AttemptPhase.Ended) return
      const { phase } = attempt
      detachAttempt(attempt)
      if (phase === AttemptPhase.Answering) {
        metrics.countBroken()
        end(attempt, Outcome.Unknown, createUnknown(RefusalReason.TargetTimeout, 'Deadline passed within the answer'))
        attempt.response.destroy()
      } else if (attempt.mayHaveRun) refuse(attempt, createUnknown(RefusalReason.TargetTimeout, 'Deadline passed at the target'))
      else refuse(attempt, createNotRun(RefusalReason.DeadlinePassed, 'Deadline passed before a target took the request', overloadRetryMs))
      placeService(attempt.service)
    },
    placeWaiting,
    countWaiting,
    countInFlight: () => inFlight
  }
}
