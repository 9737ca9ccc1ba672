/**
 * The state of one request attempt, from its arrival to its end.
 *
 * @module
 */
import type { RegisteredTarget, RoutedRequest, RefusalReason, Route, TimedResponse, WaitingRequest } from '@bilberryworks/steering'
import type { RunningExchange } from '@bilberryworks/targets'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { CollectedBody } from './collect_body.ts'
import type { RelayOrigin } from './relay_message.ts'
import { computeArrivalMs } from '@bilberryworks/steering'

/** Phase of an attempt. */
export enum AttemptPhase {
  /** Its body is being received. */
  Arriving = 'arriving',
  /** It waits for a target with a free slot. */
  Waiting = 'waiting',
  /** A target was selected for it, and it is being confirmed that its caller has not left. */
  Confirming = 'confirming',
  /** It was dispatched to a target. */
  Dispatched = 'sent',
  /** Its response is being sent to the caller. */
  Responding = 'answering',
  /** It has ended. */
  Ended = 'ended'
}

/** A dispatch of an attempt to a target, with the target's load that the selection was based on. */
export interface AttemptDispatch {
  /** Identifier of the target; absent if it was dispatched through another instance. */
  target?: string
  /** Name of the instance through which it was dispatched; absent if it was dispatched to a target. */
  peer?: string
  /** Time from the attempt's arrival to the dispatch, in milliseconds. */
  afterMs: number
  /** Number of requests of this instance in flight to the target or through the instance, this one included. */
  inFlight: number
  /** Number of requests of other instances at the target, according to its last load report; absent if it was dispatched through another instance. */
  othersBusy?: number
  /** Number of slots of the target; absent if it was dispatched through another instance. */
  slots?: number
  /** Time from the dispatch until the first byte was sent, in milliseconds; absent if none was. */
  sentAfterMs?: number
  /** Age of that load report, in milliseconds; absent if there is none. */
  reportAgeMs?: number
  /** Set if the target was cold, that is in a warm-up phase in which it gets fewer requests. */
  cold?: true
  /** Set if the target has not responded to a request for the object before, as far as this instance knows; such a request takes longer. */
  first?: true
}

/** An attempt of a caller to have a request served. A caller that retries makes a new attempt. */
export interface Attempt extends RoutedRequest, WaitingRequest {
  /** The caller's HTTP request. */
  message: IncomingMessage
  /** The HTTP response to the caller. */
  response: ServerResponse
  /** Route in the routing configuration that was in effect when the attempt arrived. */
  route: Route
  /** Version of that routing configuration. */
  version: number
  /** Monotonic time at which the attempt expires, in milliseconds. */
  deadlineAtMs: number
  /** Identifiers of the targets to which the attempt was dispatched. */
  tried: Set<string>
  /** Number of these targets that may have received a part of the request; the route limits it by `maxAttempts`. */
  targetsReached: number
  /** Dispatches of the attempt, for the log. */
  dispatches: AttemptDispatch[]
  /** Current phase. */
  phase: AttemptPhase
  /** Called immediately before the head of its response is written. */
  prepareResponse: () => void
  /** Buffered part of the body; `undefined` while it is being buffered, and if the request has no body. */
  body: CollectedBody | undefined
  /** The body while it is being buffered, and from then on; `undefined` until it is read, and if the request has none. */
  arrivingBody: CollectedBody | undefined
  /** Whether unbuffered body bytes were forwarded, which rules out a retry. */
  isBodyConsumed: boolean
  /** Exchange in progress with a target. */
  exchange: RunningExchange | undefined
  /** The instance that relays the attempt to this one; `undefined` if it came from a caller. */
  relay: RelayOrigin | undefined
  /** Names of the instances through which the attempt was sent. */
  triedPeers: Set<string>
  /** Name of the instance through which it is being sent. */
  currentPeer: string | undefined
  /** Target of the exchange in progress. */
  currentTarget: RegisteredTarget | undefined
  /** Whether a target may have run the request: it may have received a byte and has not stated that it did not run it. */
  mayHaveRun: boolean
  /** Monotonic time of the last dispatch, in milliseconds. */
  dispatchedAtMs: number
  /** Timer that expires the attempt at its deadline. */
  deadlineTimer: NodeJS.Timeout | undefined
  /** Fingerprint of the request; `undefined` until it is needed. */
  fingerprint: string | undefined
  /** Number of connections for it that this host refused. */
  localRefusals: number
  /** Refusal reason of the last exchange that failed without running the request; reported if the attempt is refused. */
  lastNotRunReason: RefusalReason | undefined
  /** Whether the last target that refused it had free slots, according to the load in its response. */
  wasRefusedWithRoom: boolean
}

/**
 * Estimates how long the rest of an attempt's body takes to arrive.
 *
 * @param attempt The attempt
 * @param nowMs Monotonic time, in milliseconds
 * @returns Time in milliseconds; 0 if the body is complete or there is none
 */
export function computeBodyMs ({ message, arrivingBody, arrivedAtMs }: Attempt, nowMs: number): number {
  if (message.complete) return 0
  const length = message.headers['content-length']
  return computeArrivalMs({ receivedBytes: arrivingBody?.bytes ?? 0, declaredBytes: length === undefined ? undefined : Number(length), elapsedMs: nowMs - arrivedAtMs })
}

/**
 * Describes how long an attempt has waited for the response of a target.
 *
 * @param attempt The attempt
 * @param nowMs Monotonic time, in milliseconds
 * @returns The kind of request, its object, and the time since its dispatch
 */
export function describeTiming ({ route, objectKey, dispatchedAtMs }: Attempt, nowMs: number): TimedResponse {
  return { kind: route.name, objectKey, elapsedMs: nowMs - dispatchedAtMs }
}
