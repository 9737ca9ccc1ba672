/**
 * Sends an attempt to a target and classifies the result of the exchange.
 *
 * @module
 */
import type { RegisteredTarget } from '@bilberryworks/steering'
import type { ResponseHead, TargetPool } from '@bilberryworks/targets'
import type { ResponseFields } from '@bilberryworks/users-platform'
import type { CreateResponseWriterOptions, ResponseWriter } from './response_writer.ts'
import type { CreateBodySenderOptions } from './send_body.ts'
import type { Attempt } from './attempt.ts'
import type { RunGuarded } from './guard_exchange.ts'
import { recordResponseTime, RouteKind } from '@bilberryworks/steering'
import { ExchangeFailure } from '@bilberryworks/targets'
import { readResponseFields } from '@bilberryworks/users-platform'
import { createResponseWriter } from './response_writer.ts'
import { AttemptPhase } from './attempt.ts'
import { createGuardedExchange } from './guard_exchange.ts'
import { buildRequestHead } from './request_head.ts'
import { createBodySender } from './send_body.ts'
import { formatRelayResult, relayHeader } from './relay_message.ts'

/** Result of an exchange with a target. */
export enum ExchangeResult {
  /** The complete response was written to the caller. */
  Completed = 'answered',
  /** The target stated that it did not run the request and will not run it. */
  NotRun = 'not_run',
  /** Another target responded at the address of the target, and stated that it did not run the request. */
  Misdirected = 'misdirected',
  /** The connection was not established, so no byte was sent. */
  ConnectFailed = 'unsent',
  /** This host refused the connection, so no byte was sent, and nothing is known of the target. */
  RefusedLocally = 'refused_locally',
  /** The target was excluded from selection before a byte was sent, for example because it is leaving. */
  Withdrawn = 'withdrawn',
  /** The response was complete, but must not be forwarded to the caller. */
  Failed = 'failed',
  /** The connection failed before any part of the response was forwarded to the caller. */
  Lost = 'lost',
  /** The same for want of resources of this host, which is no evidence of the target. */
  LostLocally = 'lost_locally',
  /** The connection failed after a part of the response was forwarded to the caller. */
  Truncated = 'broken'
}

/** Options of {@linkcode sendAttempt}. */
export interface SendAttemptOptions {
  /** Runs callbacks of the attempt. */
  runGuarded: RunGuarded
  /** Connections to targets. */
  pool: TargetPool
  /** Maximum size of the request body, in bytes. */
  maxBodyBytes: number
  /** Returns whether the target may still be sent requests. */
  maySend: () => boolean
  /** Called immediately before the first byte is sent. */
  onSendStart: () => void
  /** Called with the fields that describe the target when the response head has been received. */
  onResponseHead: (fields: ResponseFields) => void
  /** Called for each part of the response body. */
  onResponsePart: () => void
  /** Called once when the exchange has ended, with a description of the failure, which is empty if there was none. */
  onEnd: (result: ExchangeResult, detail: string) => void
  /** Called when the request body exceeds `maxBodyBytes`; the exchange continues until it is cancelled. */
  onBodyTooLarge: () => void
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Results of exchanges whose response is not forwarded to the caller. */
type WithheldResult = ExchangeResult.NotRun | ExchangeResult.Misdirected | ExchangeResult.Failed

const resultByFailure: Record<ExchangeFailure, ExchangeResult> = {
  [ExchangeFailure.ConnectFailed]: ExchangeResult.ConnectFailed,
  [ExchangeFailure.RefusedLocally]: ExchangeResult.RefusedLocally,
  [ExchangeFailure.Withdrawn]: ExchangeResult.Withdrawn,
  [ExchangeFailure.Lost]: ExchangeResult.Lost,
  [ExchangeFailure.LostLocally]: ExchangeResult.LostLocally,
  [ExchangeFailure.Malformed]: ExchangeResult.Lost
}

/** Statuses from which a caller concludes that its request did not run; withheld if the target does not state that explicitly. */
const notRunStatuses = new Set([408, 421, 429, 503])

/** Maximum size of the body of a withheld response, in bytes; a longer one is not received to its end. */
const maxWithheldBytes = 65_536
/** Time within which the body of a withheld response must be complete, in milliseconds: a round trip between regions with a lost packet. */
const maxWithheldMs = 600

/**
 * Sends an attempt to a target.
 *
 * @param attempt The attempt, whose `exchange` is set until it has ended
 * @param entry The target
 * @param options Connections, limits and callbacks
 */
export function sendAttempt (attempt: Attempt, entry: RegisteredTarget, options: SendAttemptOptions): void {
  const { target } = entry
  /** Whether a target that received the request before may have run it; a "not run" response of this target does not change that. */
  const mayHaveRunBefore = attempt.mayHaveRun
  let writer: ResponseWriter | undefined
  let withheldResult: WithheldResult | undefined
  let withheldBytes = 0
  let withheldTimer: NodeJS.Timeout | undefined
  let hasEnded = false

  /** Withholds the response from the caller; its body is received only so that the connection can be used again. */
  function startWithholding (result: WithheldResult): void {
    withheldResult = result
    withheldTimer = setTimeout(() => options.runGuarded(() => dropWithheld(`did not end within ${maxWithheldMs} ms`)), maxWithheldMs)
  }

  function dropWithheld (detail: string): void {
    if (attempt.exchange !== exchange) return
    exchange.cancel()
    finish(withheldResult!, `Withheld response of the target ${detail}`)
  }

  function finish (result: ExchangeResult, detail: string): void {
    hasEnded = true
    clearTimeout(withheldTimer)
    options.onEnd(result, detail)
  }

  const writeBody = attempt.body === undefined ? {} : { writeBody: createBodySender(attempt.message, attempt.body, createBodyOptions(attempt, options)) }
  const guarded = createGuardedExchange({
    head: buildRequestHead(attempt, { targetId: target.id, timeLeftMs: attempt.deadlineAtMs - options.getNowMs() }),
    ...writeBody,
    isBodiless: attempt.message.method === 'HEAD',
    isOwnResponse: head => readResponseFields(head.status, head.fields).attemptId === attempt.attemptId,
    maySend: options.maySend,
    onSendStart () {
      attempt.mayHaveRun = true
      attempt.targetsReached++
      recordSendStart(attempt, options.getNowMs())
      options.onSendStart()
    },
    onHead (head) {
      const fields = readResponseFields(head.status, head.fields)
      options.onResponseHead(fields)
      recordResponseTime(entry, options.getNowMs() - attempt.dispatchedAtMs)
      if (fields.isNotRun) {
        startWithholding(fields.isFromTarget ? ExchangeResult.NotRun : ExchangeResult.Misdirected)
        attempt.mayHaveRun = mayHaveRunBefore
        attempt.wasRefusedWithRoom = fields.load !== undefined && fields.load.running + fields.load.waiting < fields.load.slots
      } else if (isWithheld(attempt, head, fields.isSigned)) startWithholding(ExchangeResult.Failed)
      else writer = createResponseWriter(attempt.response, head, { ...createWriterOptions(attempt), addedFields: listRelayFields(attempt, target.id) })
    },
    onBody (part) {
      options.onResponsePart()
      writer?.write(part)
      if (withheldResult === undefined) return
      withheldBytes += part.length
      if (withheldBytes > maxWithheldBytes) dropWithheld(`is longer than ${maxWithheldBytes} bytes`)
    },
    onEnd () {
      writer?.end()
      finish(withheldResult ?? ExchangeResult.Completed, withheldResult === undefined ? '' : 'Target sent a failure status or an unsigned response')
    },
    onFail (failure, detail) {
      if (writer?.isCommitted() === true) finish(ExchangeResult.Truncated, detail)
      // The response head is sufficient evidence that the request did not run, even if the body is lost.
      else if (withheldResult !== undefined && withheldResult !== ExchangeResult.Failed) finish(withheldResult, detail)
      else finish(resultByFailure[failure], detail)
    }
  }, options.runGuarded)
  const exchange = options.pool.send(target, guarded.exchange)
  if (guarded.hasFailed()) exchange.cancel()
  else if (!hasEnded) attempt.exchange = exchange
}

/**
 * Records in the last dispatch of an attempt that its first byte is being sent.
 *
 * @param attempt The attempt
 * @param nowMs Monotonic time, in milliseconds
 */
export function recordSendStart (attempt: Attempt, nowMs: number): void {
  attempt.dispatches.at(-1)!.sentAfterMs = Math.round(nowMs - attempt.dispatchedAtMs)
}

/** Returns whether to withhold a response: a success without the target's signature, a status that would wrongly imply that the request did not run, or a server error on an idempotent route whose limit of targets has not been reached. */
function isWithheld (attempt: Attempt, head: ResponseHead, isSigned: boolean): boolean {
  if (head.status < 300) return !isSigned
  if (notRunStatuses.has(head.status)) return true
  return head.status >= 500 && attempt.route.kind === RouteKind.Safe && attempt.targetsReached < attempt.route.maxAttempts
}

/** Lists the fields that tell the instance which relays the request of the target. */
function listRelayFields ({ relay, targetsReached }: Attempt, targetId: string): string[] {
  return relay === undefined ? [] : [relayHeader, formatRelayResult({ targetId, targetsReached: targetsReached - relay.targetsReached })]
}

/**
 * Creates the options of the writer of an attempt's response.
 *
 * @param attempt The attempt
 * @returns The options
 */
export function createWriterOptions (attempt: Attempt): CreateResponseWriterOptions {
  return {
    onCommit () {
      attempt.prepareResponse()
      attempt.phase = AttemptPhase.Responding
    },
    setPaused: paused => attempt.exchange?.setPaused(paused)
  }
}

/**
 * Creates the options of the sender of an attempt's body.
 *
 * @param attempt The attempt
 * @param options Limit of the body, in bytes, and what to do with a longer one
 * @returns The options
 */
export function createBodyOptions (attempt: Attempt, options: Pick<SendAttemptOptions, 'runGuarded' | 'maxBodyBytes' | 'onBodyTooLarge'>): CreateBodySenderOptions {
  return {
    runGuarded: options.runGuarded,
    maxBytes: options.maxBodyBytes,
    onConsumed () {
      attempt.isBodyConsumed = true
    },
    onTooLarge: options.onBodyTooLarge
  }
}
