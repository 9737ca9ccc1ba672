/**
 * The moleculer service behind the operators' interface.
 *
 * @module
 */
import type { Platform } from '@bilberryworks/platform'
import type { AcceptedDocument, ServiceDocument } from '@bilberryworks/steering'
import type { Context, ServiceSchema } from 'moleculer'
import type { SubmissionFailure } from './submit_document.ts'
import type { TokenRecord } from './tokens.ts'
import { SubmissionFailureKind, submitDocument } from './submit_document.ts'

/** Options of {@linkcode createOperatorsService}. */
export interface CreateOperatorsServiceOptions {
  /** The platform. */
  platform: Platform
  /** Lists the documents in force here. */
  listDocuments: () => AcceptedDocument[]
  /** Takes an accepted document over at once. */
  mergeDocument: (accepted: AcceptedDocument) => void
  /** Describes the state of the instance. */
  createStatus: () => object
  /** Returns the wall-clock time, in milliseconds since the epoch. */
  getWallClockMs: () => number
}

/** What the gateway hands to the actions. */
interface Meta {
  token: TokenRecord
  $statusCode: number
  $responseHeaders: Record<string, string>
  ifMatch: string | undefined
  ifNoneMatch: string | undefined
  submissionId: string | undefined
}

type Call<P> = Context<P, Meta>

/**
 * Creates the service.
 *
 * @param options The platform and the instance's knowledge
 * @returns A moleculer service schema
 */
export function createOperatorsService (options: CreateOperatorsServiceOptions): ServiceSchema {
  const findOwn = (call: Call<{ service: string }>): AcceptedDocument | undefined => {
    return options.listDocuments().find(accepted => accepted.document.service === call.params.service)
  }
  return {
    name: 'operators',
    actions: {
      listDocuments (call: Call<object>) {
        return { documents: options.listDocuments().filter(accepted => accepted.document.ownerTeam === call.meta.token.team) }
      },
      getDocument (call: Call<{ service: string }>) {
        const accepted = findOwn(call)
        if (accepted === undefined) return reply(call, 404, { title: 'unknown_service' })
        if (accepted.document.ownerTeam !== call.meta.token.team) return reply(call, 403, { title: 'other_team' })
        call.meta.$responseHeaders = { ETag: `"${accepted.revision}"` }
        return accepted
      },
      async putDocument (call: Call<{ service: string } & Record<string, unknown>>) {
        const current = findOwn(call)
        if (current !== undefined && current.document.ownerTeam !== call.meta.token.team) return reply(call, 403, { title: 'other_team' })
        const baseRevision = parseBaseRevision(call.meta)
        if (baseRevision === undefined) return reply(call, 428, { title: 'precondition_required', detail: 'If-Match or If-None-Match: * is missing' })
        if (call.meta.submissionId === undefined) return reply(call, 400, { title: 'bad_request', detail: 'Submission-Id is missing' })
        const document = call.params as unknown as ServiceDocument
        const submission = { document, baseRevision, submissionId: call.meta.submissionId, author: call.meta.token.name, nowMs: options.getWallClockMs() }
        const result = await submitDocument(options.platform, submission)
        if (result.isErr()) return replyFailure(call, result.error)
        options.mergeDocument(result.value)
        call.meta.$responseHeaders = { ETag: `"${result.value.revision}"` }
        return reply(call, baseRevision === 0 ? 201 : 200, result.value)
      },
      getStatus: () => options.createStatus()
    }
  }
}

function parseBaseRevision (meta: Meta): number | undefined {
  if (meta.ifNoneMatch === '*') return 0
  const revision = /^"?(\d{1,9})"?$/.exec(meta.ifMatch ?? '')?.[1]
  return revision === undefined ? undefined : Number(revision)
}

function reply (call: { meta: Meta }, status: number, body: object): object {
  call.meta.$statusCode = status
  return body
}

function replyFailure (call: { meta: Meta }, failure: SubmissionFailure): object {
  switch (failure.kind) {
    case SubmissionFailureKind.RevisionConflict: return reply(call, 412, { title: failure.kind, detail: failure.detail, current: failure.current })
    case SubmissionFailureKind.NotRun: return reply(call, 503, { title: 'not-run', detail: failure.detail })
    case SubmissionFailureKind.Unknown: return reply(call, 504, { title: 'unknown', detail: failure.detail })
  }
}
