/**
 * Sends an attempt to another instance, which dispatches it to a target, and classifies the result.
 *
 * @module
 */
import type { Refusal } from '@bilberryworks/steering'
import type { ResponseHead, TargetPool } from '@bilberryworks/targets'
import type { Attempt } from './attempt.ts'
import type { RunGuarded } from './guard_exchange.ts'
import type { PeerHeartbeat } from './peer_view.ts'
import type { ResponseWriter } from './response_writer.ts'
import { Outcome } from '@bilberryworks/steering'
import { ExchangeFailure } from '@bilberryworks/targets'
import { attemptIdHeader } from '@bilberryworks/users-platform'
import { createGuardedExchange } from './guard_exchange.ts'
import { buildRelayHead } from './request_head.ts'
import { createWriterOptions, createBodyOptions, recordSendStart } from './send_attempt.ts'
import { createResponseWriter } from './response_writer.ts'
import { createBodySender } from './send_body.ts'
import { parseRelayResult, readRelayRefusal, relayField } from './relay_message.ts'

/** Result of relaying an attempt. */
export enum RelayResultKind {
  /** The complete response of a target was written to the caller. */
  Answered = 'answered',
  /** The peer refused the request. */
  Refused = 'refused',
  /** No connection to the peer was established, or the request was withdrawn before a byte was sent. */
  Unsent = 'unsent',
  /** This host refused the connection to the peer, so no byte was sent. */
  RefusedLocally = 'refused_locally',
  /** The connection to the peer failed, or the peer sent no valid response, before any part of a response was forwarded to the caller. */
  Lost = 'lost',
  /** The connection failed after a part of the response was forwarded to the caller. */
  Truncated = 'truncated'
}

/** Options of {@linkcode sendRelayed}. */
export interface SendRelayedOptions {
  /** Runs callbacks of the attempt. */
  runGuarded: RunGuarded
  /** Name of this instance. */
  instance: string
  /** Connections to other instances. */
  pool: TargetPool
  /** Maximum size of the request body, in bytes. */
  maxBodyBytes: number
  /** Time that the response of the peer takes to arrive here, in milliseconds. */
  transitMs: number
  /** Returns whether the request may still be sent. */
  maySend: () => boolean
  /** Called with the identifier of the target and the head when the response of a target begins. */
  onTargetResponse: (targetId: string, head: ResponseHead) => void
  /** Called when the request body exceeds `maxBodyBytes`; the exchange continues until it is cancelled. */
  onBodyTooLarge: () => void
  /** Called once when the exchange has ended; `refusal` is that of the peer, if it refused the request. */
  onEnd: (result: RelayResultKind, end: { detail: string, refusal?: Refusal }) => void
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Maximum size of the body of a refusal, in bytes. */
const maxRefusalBytes = 65_536

const resultByFailure: Record<ExchangeFailure, RelayResultKind> = {
  [ExchangeFailure.ConnectFailed]: RelayResultKind.Unsent,
  [ExchangeFailure.RefusedLocally]: RelayResultKind.RefusedLocally,
  [ExchangeFailure.Withdrawn]: RelayResultKind.Unsent,
  [ExchangeFailure.Lost]: RelayResultKind.Lost,
  [ExchangeFailure.LostLocally]: RelayResultKind.Lost,
  [ExchangeFailure.Malformed]: RelayResultKind.Lost
}

/**
 * Sends an attempt through another instance.
 *
 * @param attempt The attempt, whose `exchange` is set
 * @param peer The instance
 * @param options Connections, limits and callbacks
 */
export function sendRelayed (attempt: Attempt, peer: PeerHeartbeat, options: SendRelayedOptions): void {
  /** Whether a target that received the request before may have run it; a "not run" response of the peer does not change that. */
  const mayHaveRunBefore = attempt.mayHaveRun
  const targetsReachedBefore = attempt.targetsReached
  let writer: ResponseWriter | undefined
  let refusal: Refusal | undefined
  let refusalBytes = 0
  let hasEnded = false

  function finish (result: RelayResultKind, end: { detail: string, refusal?: Refusal }): void {
    hasEnded = true
    options.onEnd(result, end)
  }

  function failRelay (detail: string): void {
    if (attempt.exchange !== exchange) return
    exchange.cancel()
    finish(RelayResultKind.Lost, { detail })
  }

  function readHead (head: ResponseHead): void {
    const result = parseRelayResult(head.fields[relayField])
    if (result === undefined) return failRelay(`Instance "${peer.instance}" sent a response with the ${relayField} field "${head.fields[relayField] ?? ''}"`)
    attempt.targetsReached = targetsReachedBefore + result.targetsReached
    if (result.targetId !== undefined) {
      options.onTargetResponse(result.targetId, head)
      writer = createResponseWriter(attempt.response, head, createWriterOptions(attempt))
      return
    }
    refusal = readRelayRefusal(head, peer.instance)
    if (refusal === undefined) failRelay(`Instance "${peer.instance}" sent status ${head.status} without an outcome and a reason`)
    else if (refusal.outcome === Outcome.NotRun) attempt.mayHaveRun = mayHaveRunBefore
  }

  const writeBody = attempt.body === undefined ? {} : { writeBody: createBodySender(attempt.message, attempt.body, createBodyOptions(attempt, options)) }
  const guarded = createGuardedExchange({
    head: buildRelayHead(attempt, { instance: options.instance, timeLeftMs: attempt.deadlineAtMs - options.getNowMs() - options.transitMs }),
    ...writeBody,
    isBodiless: attempt.message.method === 'HEAD',
    isOwnResponse: head => head.fields[attemptIdHeader.toLowerCase()] === attempt.attemptId,
    maySend: options.maySend,
    onSendStart () {
      attempt.mayHaveRun = true
      attempt.targetsReached++
      recordSendStart(attempt, options.getNowMs())
    },
    onHead: readHead,
    onBody (part) {
      writer?.write(part)
      if (refusal === undefined) return
      refusalBytes += part.length
      if (refusalBytes > maxRefusalBytes) failRelay(`Refusal of instance "${peer.instance}" is longer than ${maxRefusalBytes} bytes`)
    },
    onEnd () {
      writer?.end()
      finish(refusal === undefined ? RelayResultKind.Answered : RelayResultKind.Refused, { detail: refusal?.detail ?? '', ...refusal === undefined ? {} : { refusal } })
    },
    onFail (failure, detail) {
      if (writer?.isCommitted() === true) finish(RelayResultKind.Truncated, { detail })
      // The head of the refusal is sufficient, even if its body is lost.
      else if (refusal !== undefined) finish(RelayResultKind.Refused, { detail, refusal })
      else finish(resultByFailure[failure], { detail })
    }
  }, options.runGuarded)
  const exchange = options.pool.send({ id: peer.instance, address: peer.peers }, guarded.exchange)
  if (guarded.hasFailed()) exchange.cancel()
  else if (!hasEnded) attempt.exchange = exchange
}
