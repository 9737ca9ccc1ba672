/**
 * A caller's request and its answer, as the packages hand them to each other.
 *
 * @module
 */
import type { Readable } from 'node:stream'
import type { Result } from 'neverthrow'
import type { Refusal } from './refusal.ts'

/** Header fields by lower-case name. */
export type HeaderFields = Record<string, string | string[]>

/** A request for a service, checked and stripped of hop-by-hop header fields. */
export interface ServiceRequest {
  /** Identifies this request in every log, tag and cancellation. */
  requestId: string
  /** Name of the service. */
  service: string
  /** HTTP method, in capitals. */
  method: string
  /** Path and query behind the service's name, with its leading slash. */
  path: string
  /** End-to-end header fields. */
  headers: HeaderFields
  /** The body, read with back-pressure; ends at once where there is none. */
  body: Readable
  /** Length of the body in bytes, where the caller stated it. */
  contentLength: number | undefined
  /** Identifies the caller for hashing and fairness: its address. */
  callerKey: string
  /** Value of `Idempotency-Key`, where there is one. */
  idempotencyKey: string | undefined
  /** Value of `Bilberry-Pin`, where there is one. */
  pin: string | undefined
  /** Milliseconds that the caller still waits, where it said so. */
  deadlineMs: number | undefined
  /** How many instances have forwarded the request; never above 1. */
  hops: number
  /** Region of the instance that forwarded the request, where one did. */
  originRegion?: string | undefined
  /** Aborted when the caller is gone. */
  signal: AbortSignal
}

/** A target's answer on its way to the caller. */
export interface ServiceResponse {
  /** HTTP status of the target. */
  status: number
  /** End-to-end header fields. */
  headers: HeaderFields
  /** The body; an error on it means that the answer was cut off. */
  body: Readable
}

/** Handles a request to its end; never rejects. */
export type HandleRequest = (request: ServiceRequest) => Promise<Result<ServiceResponse, Refusal>>
