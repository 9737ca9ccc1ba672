/**
 * Sends an attempt to a target, and judges what comes back.
 *
 * @module
 */
import type { RegisteredTarget } from '@bilberryworks/steering'
import type { ResponseHead, TargetPool } from '@bilberryworks/targets'
import type { ResponseWriter } from './response_writer.ts'
import type { Attempt } from './attempt.ts'
import { recordResponseTime, recordTargetLoad, RouteKind } from '@bilberryworks/steering'
import { ExchangeFailure } from '@bilberryworks/targets'
import { readResponseFields } from '@bilberryworks/users-platform'
import { createResponseWriter } from './response_writer.ts'
import { AttemptPhase } from './attempt.ts'
import { buildRequestHead } from './request_head.ts'
import { createBodySender } from './send_body.ts'

/** How an exchange with a target ended. */
export enum ExchangeResult {
  /** The whole answer was written to the caller. */
  Answered = 'answered',
  /** The target did not run the request and will not. */
  NotRun = 'not_run',
  /** No connection: no byte was sent. */
  Unsent = 'unsent',
  /** The target answered with what can't be passed on. */
  Failed = 'failed',
  /** The answer was lost before any part of it was passed on. */
  Lost = 'lost',
  /** The answer was cut off after a part of it was passed on. */
  Broken = 'broken'
}

/** Options of {@linkcode sendAttempt}. */
export interface SendAttemptOptions {
  /** Connections to targets. */
  pool: TargetPool
  /** Most bytes that the body may have. */
  maxBodyBytes: number
  /** Called when the first byte is about to be sent. */
  onSendStart: () => void
  /** Called when the head of the answer has come. */
  onResponseHead: () => void
  /** Called once when the exchange has ended, with the cause where it failed. */
  onEnd: (end: ExchangeResult, detail: string) => void
  /** Called where the body grows longer than its bound; the exchange goes on until it is cancelled. */
  onBodyTooLarge: () => void
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Statuses that promise that nothing ran, which can't be passed on from a target that does not say so. */
const notRunStatuses = new Set([408, 421, 429, 503])

/**
 * Sends an attempt to a target.
 *
 * @param attempt The attempt, whose exchange is set
 * @param entry The target
 * @param options What to call
 */
export function sendAttempt (attempt: Attempt, entry: RegisteredTarget, options: SendAttemptOptions): void {
  const { target } = entry
  /** What earlier exchanges left open: this target can only speak for itself. */
  const mayHaveRunBefore = attempt.mayHaveRun
  let writer: ResponseWriter | undefined
  let withheld: ExchangeResult.NotRun | ExchangeResult.Failed | undefined
  const writeBody = attempt.body === undefined ? {} : { writeBody: createBodySender(attempt.message, attempt.body, createBodyOptions(attempt, options)) }
  attempt.exchange = options.pool.send(target, {
    head: buildRequestHead(attempt, { targetId: target.id, timeLeftMs: attempt.deadlineAtMs - options.getNowMs() }),
    ...writeBody,
    isBodiless: attempt.message.method === 'HEAD',
    isOwnResponse: head => readResponseFields(head.status, head.fields).attemptId === attempt.attemptId,
    onSendStart () {
      attempt.mayHaveRun = true
      attempt.targetsReached++
      options.onSendStart()
    },
    onHead (head) {
      const fields = readResponseFields(head.status, head.fields)
      options.onResponseHead()
      recordResponseTime(entry, options.getNowMs() - attempt.sentAtMs)
      if (fields.load !== undefined) recordTargetLoad(entry, fields.load, options.getNowMs())
      if (fields.isNotRun) {
        withheld = ExchangeResult.NotRun
        attempt.mayHaveRun = mayHaveRunBefore
      } else if (isWithheld(attempt, head, fields.isSigned)) withheld = ExchangeResult.Failed
      else writer = createResponseWriter(attempt.response, head, createWriterOptions(attempt))
    },
    onBody: part => writer?.write(part),
    onEnd () {
      writer?.end()
      options.onEnd(withheld ?? ExchangeResult.Answered, withheld === undefined ? '' : 'Target answered with a failure')
    },
    onFail (failure, detail) {
      if (writer?.isCommitted() === true) options.onEnd(ExchangeResult.Broken, detail)
      // The head alone says that nothing ran, whatever became of the rest.
      else if (withheld === ExchangeResult.NotRun) options.onEnd(ExchangeResult.NotRun, detail)
      else options.onEnd(failure === ExchangeFailure.ConnectFailed ? ExchangeResult.Unsent : ExchangeResult.Lost, detail)
    }
  })
}

/** Tells whether an answer is withheld: a success that can't be the target's own, a promise that it did not make, or a failure that may be repeated. */
function isWithheld (attempt: Attempt, head: ResponseHead, isSigned: boolean): boolean {
  if (head.status < 300) return !isSigned
  if (notRunStatuses.has(head.status)) return true
  return head.status >= 500 && attempt.route.kind === RouteKind.Safe && attempt.targetsReached < attempt.route.maxAttempts
}

function createWriterOptions (attempt: Attempt): { onCommit: () => void, setPaused: (paused: boolean) => void } {
  return {
    onCommit () {
      attempt.phase = AttemptPhase.Answering
    },
    setPaused: paused => attempt.exchange?.setPaused(paused)
  }
}

function createBodyOptions (attempt: Attempt, options: SendAttemptOptions): { onConsumed: () => void, onTooLarge: () => void, maxBytes: number } {
  return {
    maxBytes: options.maxBodyBytes,
    onConsumed () {
      attempt.isBodyConsumed = true
    },
    onTooLarge: options.onBodyTooLarge
  }
}
