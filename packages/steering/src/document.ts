/**
 * The document by which a service team states where its traffic may go.
 *
 * @module
 */
import type { Objective, RequestClass } from './outcomes.ts'

/** A rule that gives requests of one method and path prefix their class. */
export interface ClassRule {
  /** HTTP methods that the rule covers; every method where empty. */
  methods: string[]
  /** Prefix of the path behind the service's name, with its leading slash. */
  pathPrefix: string
  /** The class given. */
  requestClass: RequestClass
  /** Longest time a request of this class may take, in milliseconds. */
  deadlineMs: number
  /** Order of admission, 0 first. */
  priority: number
}

/** Bounds that a service sets on its own requests. */
export interface ServiceLimits {
  /** Largest body of a keyed request that is not an upload, in bytes. */
  maxBodyBytes: number
  /** Largest body of an upload, in bytes. */
  maxUploadBytes: number
  /** Requests that may wait at one instance. */
  maxQueued: number
}

/** A service's document, as an operator writes it. */
export interface ServiceDocument {
  /** Name of the service, as in `/services/{service}/`. */
  service: string
  /** Team whose tokens open this document. */
  ownerTeam: string
  /** Team that may take the document over by submitting it with itself as the owner; nobody where absent. */
  handOverTo?: string
  /** Share of the service's traffic for each region; any positive scale. */
  regionWeights: Record<string, number>
  /** Largest share of the service's traffic that may move in one step, 0 to 1. */
  shiftCap: number
  /** Length of a step, in milliseconds. */
  shiftStepMs: number
  /** Targets that take no new work. */
  leavingTargets: string[]
  /** Classes by method and path; the first rule that matches is used. */
  classes: ClassRule[]
  /** What the choice of region and target favours. */
  objective: Objective
  /** Bounds on requests. */
  limits: ServiceLimits
}

/** A document once it is durable on the platform. */
export interface AcceptedDocument {
  /** Revision of this service's document, 1 for the first. */
  revision: number
  /** The document. */
  document: ServiceDocument
  /** Wall-clock time of acceptance, in milliseconds since the epoch; for people only. */
  acceptedAtMs: number
  /** Name of the token by which it was submitted. */
  author: string
  /** `Submission-Id` of the call that wrote it. */
  submissionId: string
}

/** The weights by region that are in force for a service, as kept in the platform's table. */
export interface ShiftRow {
  /** Name of the service. */
  service: string
  /** Revision of the document that the weights move towards. */
  documentRevision: number
  /** Counts the steps taken, over all documents. */
  step: number
  /** Weights in force, adding up to 1. */
  weights: Record<string, number>
}
