/**
 * Paces the bodies of requests and responses that cross the link to another region.
 *
 * @module
 */
import type { HandleRequest, Refusal, ServiceRequest } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import type { LinkRateLimiter } from './link_rate_limiter.ts'
import { pipeline } from 'node:stream'
import { LinkPurpose, RequestClass } from '@bilberryworks/steering'
import { ok } from 'neverthrow'

/** Time limit for the transfer of a response, longer than any response takes, in milliseconds. */
const responseTimeLimitMs = 3_600_000

/** A request to forward to another instance. */
export interface OutgoingRequest {
  /** The request. */
  request: ServiceRequest
  /** Class of the request. */
  requestClass: RequestClass
  /** Monotonic time by which the request must have ended, in milliseconds. */
  deadlineAtMs: number
}

/** Paces transfers over the links between regions. */
export interface RequestPacer {
  /** Returns the request with a paced body, or a refusal if the link can't transfer the body before the deadline. */
  paceRequest (toRegion: string, outgoing: OutgoingRequest): Result<ServiceRequest, Refusal>
  /** Returns a handler that paces the response bodies for instances of other regions. */
  paceResponses (handleRequest: HandleRequest): HandleRequest
}

/**
 * Creates the pacer of an instance.
 *
 * @param rateLimiter Admits and paces transfers over each link
 * @param options Region of the instance, and the monotonic clock in milliseconds
 * @returns The pacer
 */
export function createRequestPacer (rateLimiter: LinkRateLimiter, options: { region: string, getNowMs: () => number }): RequestPacer {
  return {
    paceRequest (toRegion, { request, requestClass, deadlineAtMs }) {
      if (toRegion === options.region || isBodiless(request)) return ok(request)
      const purpose = requestClass === RequestClass.Upload ? LinkPurpose.Upload : LinkPurpose.Request
      const admitted = rateLimiter.admitTransfer(toRegion, { bytes: request.contentLength, purpose, deadlineAtMs })
      return admitted.map(paced => ({ ...request, body: pipeline(request.body, paced, () => {}) }))
    },
    paceResponses: handleRequest => async request => {
      const result = await handleRequest(request)
      const toRegion = request.originRegion
      if (toRegion === undefined || toRegion === options.region) return result
      // A response must not be refused, since the request has run. The rate limiter admits a transfer of unknown length
      // regardless of the backlog, and only paces it.
      const transfer = { bytes: undefined, purpose: LinkPurpose.Request, deadlineAtMs: options.getNowMs() + responseTimeLimitMs }
      return result.andThen(response => rateLimiter.admitTransfer(toRegion, transfer).map(paced => ({ ...response, body: pipeline(response.body, paced, () => {}) })))
    }
  }
}

function isBodiless (request: ServiceRequest): boolean {
  return request.method === 'GET' || request.method === 'HEAD' || request.contentLength === 0
}
