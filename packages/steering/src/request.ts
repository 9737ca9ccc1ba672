/**
 * A caller's request and its response, as the packages pass them to each other.
 *
 * @module
 */
import type { Readable } from 'node:stream'
import type { Result } from 'neverthrow'
import type { Refusal } from './refusal.ts'

/** Header fields by lower-case name. */
export type HeaderFields = Record<string, string | string[]>

/** A request for a service, validated and without hop-by-hop header fields. */
export interface ServiceRequest {
  /** Identifies the request in logs, in the `Bilberry-Request-Id` header sent to targets, and in cancellations. */
  requestId: string
  /** Name of the service. */
  service: string
  /** HTTP method, in upper case. */
  method: string
  /** Path and query after the service's name, with the leading slash. */
  path: string
  /** End-to-end header fields. */
  headers: HeaderFields
  /** Body, read with back-pressure; an empty stream if the request has none. */
  body: Readable
  /** Length of the body in bytes, if the caller stated it. */
  contentLength: number | undefined
  /** Identifies the caller for hashing and fair queueing: the caller's address. */
  callerKey: string
  /** Value of the `Idempotency-Key` header field, if present. */
  idempotencyKey: string | undefined
  /** Value of the `Bilberry-Pin` header field, if present. */
  pin: string | undefined
  /** Milliseconds for which the caller still waits, if the caller stated it. */
  deadlineMs: number | undefined
  /** Number of instances that have forwarded the request; at most 1. */
  hops: number
  /** Region of the instance that forwarded the request, if any. */
  originRegion?: string | undefined
  /** Aborted when the caller disconnects. */
  signal: AbortSignal
}

/** A target's response to be passed on to the caller. */
export interface ServiceResponse {
  /** HTTP status code of the response. */
  status: number
  /** End-to-end header fields. */
  headers: HeaderFields
  /** Body; an error on the stream means that the response was truncated. */
  body: Readable
}

/** Handles a request; resolves to its response or refusal and never rejects. */
export type HandleRequest = (request: ServiceRequest) => Promise<Result<ServiceResponse, Refusal>>
