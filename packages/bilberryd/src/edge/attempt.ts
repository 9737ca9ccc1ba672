/**
 * One attempt of a caller, from its arrival to its end.
 *
 * @module
 */
import type { RegisteredTarget, RoutedRequest, RefusalReason, Route, WaitingRequest } from '@bilberryworks/steering'
import type { RunningExchange } from '@bilberryworks/targets'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { CollectedBody } from './collect_body.ts'

/** How far an attempt has come. */
export enum AttemptPhase {
  /** Its body is on its way. */
  Arriving = 'arriving',
  /** It waits for room at a target. */
  Waiting = 'waiting',
  /** It was handed to a target. */
  Sent = 'sent',
  /** Its answer is on its way to the caller. */
  Answering = 'answering',
  /** It has ended. */
  Ended = 'ended'
}

/** A hand-over of an attempt to a target, with what decided it. */
export interface AttemptDispatch {
  /** Identifier of the target. */
  target: string
  /** Time since the attempt's arrival, in milliseconds. */
  afterMs: number
  /** Requests of this instance that were there or on their way. */
  inFlight: number
  /** Requests of other instances there, by its last report. */
  othersBusy: number
  /** Age of that report, in milliseconds; absent where there is none. */
  reportAgeMs?: number
  /** Whether it counted as cold. */
  cold?: true
}

/** An attempt of a caller. */
export interface Attempt extends RoutedRequest, WaitingRequest {
  /** The caller's message. */
  message: IncomingMessage
  /** The answer to the caller. */
  response: ServerResponse
  /** Its route under the configuration in force at its arrival. */
  route: Route
  /** Version of that configuration. */
  version: number
  /** Monotonic time of its final answer at the latest, in milliseconds. */
  deadlineAtMs: number
  /** Targets that it was handed to. */
  tried: Set<string>
  /** How many of them may have read any byte of it, which its route bounds. */
  targetsReached: number
  /** What was known of each at that moment, for the log. */
  dispatches: AttemptDispatch[]
  /** How far it has come. */
  phase: AttemptPhase
  /** Its body, once collected. */
  body: CollectedBody | undefined
  /** Whether a part of the body was sent that is not kept, so that it can't be sent again. */
  isBodyConsumed: boolean
  /** The exchange under way. */
  exchange: RunningExchange | undefined
  /** The target of the exchange under way. */
  currentTarget: RegisteredTarget | undefined
  /** Whether any byte of it may have been read by a target that did not say that it did not run it. */
  mayHaveRun: boolean
  /** Monotonic time at which it was last handed to a target, in milliseconds. */
  sentAtMs: number
  /** The timer of its final answer. */
  timer: NodeJS.Timeout | undefined
  /** Why its last exchange ended, for the log. */
  lastReason: RefusalReason | undefined
}
