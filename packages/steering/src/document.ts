/**
 * Types of the service document, in which a team configures the traffic of its service, and of the weights in force.
 *
 * @module
 */
import type { Objective, RequestClass } from './outcomes.ts'

/** A rule that assigns a class to requests by method and path prefix. */
export interface ClassRule {
  /** HTTP methods that the rule matches; empty to match every method. */
  methods: string[]
  /** Prefix of the path after the service name, with its leading slash. */
  pathPrefix: string
  /** Class of the requests that match. */
  requestClass: RequestClass
  /** Maximum duration of a request that matches, in milliseconds. */
  deadlineMs: number
  /** Priority in the admission queue, 0 the highest. */
  priority: number
}

/** Limits on the requests of a service. */
export interface ServiceLimits {
  /** Maximum body size of a request that is not an upload, in bytes. */
  maxBodyBytes: number
  /** Maximum body size of an upload, in bytes. */
  maxUploadBytes: number
  /** Maximum number of requests that wait in the admission queue of one instance. */
  maxQueued: number
}

/** The document of a service, as an operator writes it. */
export interface ServiceDocument {
  /** Name of the service, as in `/services/{service}/`. */
  service: string
  /** Team that owns the document; its operator tokens grant access. */
  ownerTeam: string
  /** Team that may become the owner by submitting the document with itself as `ownerTeam`; no team if absent. */
  handOverTo?: string
  /** Relative weight of each region in the traffic of the service, on any positive scale. */
  regionWeights: Record<string, number>
  /** Maximum share of the traffic that may move between regions in one step, 0 to 1. */
  shiftCap: number
  /** Length of a step, in milliseconds. */
  shiftStepMs: number
  /** Names of the targets that get no new requests. */
  leavingTargets: string[]
  /** Rules that assign request classes; the first rule that matches applies. */
  classes: ClassRule[]
  /** Objective of the selection of region and target. */
  objective: Objective
  /** Limits on the requests of the service. */
  limits: ServiceLimits
}

/** A document that the platform has stored durably. */
export interface AcceptedDocument {
  /** Revision of the document of the service, 1 for the first. */
  revision: number
  /** The document. */
  document: ServiceDocument
  /** Wall-clock time of acceptance, in milliseconds since the epoch; for display only, not used in decisions. */
  acceptedAtMs: number
  /** Name of the operator token with which the document was submitted. */
  author: string
  /** `Submission-Id` header of the request that submitted the document. */
  submissionId: string
}

/** Region weights in force for a service, as stored in a table of the platform. */
export interface ShiftRow {
  /** Name of the service. */
  service: string
  /** Revision of the document that the weights move towards. */
  documentRevision: number
  /** Number of steps taken, over all revisions of the document. */
  step: number
  /** Weights in force, adding up to 1. */
  weights: Record<string, number>
}
