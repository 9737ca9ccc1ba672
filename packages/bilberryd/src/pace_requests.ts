/**
 * Paces the bodies of requests and answers that cross the link to another region.
 *
 * @module
 */
import type { HandleRequest, Refusal, ServiceRequest } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import type { LinkGate } from './links.ts'
import { pipeline } from 'node:stream'
import { LinkPurpose, RequestClass } from '@bilberryworks/steering'
import { ok } from 'neverthrow'

const longAnswerMs = 3_600_000

/** A request on its way to another instance. */
export interface OutgoingRequest {
  /** The request. */
  request: ServiceRequest
  /** Its class. */
  requestClass: RequestClass
  /** Monotonic time by which it must have ended, in milliseconds. */
  deadlineAtMs: number
}

/** Paces what crosses links. */
export interface RequestPacer {
  /** Returns the request with its body paced, or refuses it where the link can't carry it in time. */
  paceRequest (toRegion: string, outgoing: OutgoingRequest): Result<ServiceRequest, Refusal>
  /** Returns a handler that paces its answers to instances of other regions. */
  paceAnswers (handleRequest: HandleRequest): HandleRequest
}

/**
 * Creates the pacer of an instance.
 *
 * @param gate Its links
 * @param options Region of the instance and the monotonic clock, in milliseconds
 * @returns The pacer
 */
export function createRequestPacer (gate: LinkGate, options: { region: string, getNowMs: () => number }): RequestPacer {
  return {
    paceRequest (toRegion, { request, requestClass, deadlineAtMs }) {
      if (toRegion === options.region || isBodiless(request)) return ok(request)
      const purpose = requestClass === RequestClass.Upload ? LinkPurpose.Upload : LinkPurpose.Request
      const admitted = gate.admitTransfer(toRegion, { bytes: request.contentLength, purpose, deadlineAtMs })
      return admitted.map(paced => ({ ...request, body: pipeline(request.body, paced, () => {}) }))
    },
    paceAnswers: handleRequest => async request => {
      const result = await handleRequest(request)
      const toRegion = request.originRegion
      if (toRegion === undefined || toRegion === options.region) return result
      // An answer can't be refused any more: without a length it is admitted whatever waits, and paced.
      const transfer = { bytes: undefined, purpose: LinkPurpose.Request, deadlineAtMs: options.getNowMs() + longAnswerMs }
      return result.andThen(answer => gate.admitTransfer(toRegion, transfer).map(paced => ({ ...answer, body: pipeline(answer.body, paced, () => {}) })))
    }
  }
}

function isBodiless (request: ServiceRequest): boolean {
  return request.method === 'GET' || request.method === 'HEAD' || request.contentLength === 0
}
