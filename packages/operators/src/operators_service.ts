/**
 * The Moleculer service behind the operators' HTTP interface.
 *
 * @module
 */
import type { Platform } from '@bilberryworks/platform'
import type { AcceptedDocument, ServiceDocument, TargetRecord } from '@bilberryworks/steering'
import type { Context, ServiceSchema } from 'moleculer'
import type { SubmissionFailure } from './submit_document.ts'
import type { TokenRecord } from './tokens.ts'
import { checkDocument, isReadableBy } from '@bilberryworks/steering'
import { readHistory } from './read_history.ts'
import { SubmissionFailureKind, submitDocument } from './submit_document.ts'

const maxUnresolvedSubmissions = 1_024
const submissionIdPattern = /^[\x21-\x7e]{1,128}$/

/** Options of {@linkcode createOperatorsService}. */
export interface CreateOperatorsServiceOptions {
  /** Platform that stores the documents. */
  platform: Platform
  /** Lists the documents in force at this instance. */
  listDocuments: () => AcceptedDocument[]
  /** Lists the known targets, against which submitted region weights are checked; none by default. */
  listTargets?: () => TargetRecord[]
  /** Puts an accepted document in force at this instance immediately, ahead of the next poll of the platform. */
  mergeDocument: (accepted: AcceptedDocument) => void
  /** Returns the status of the system. */
  createStatus: () => object | Promise<object>
  /** Returns the status of a service; an empty object by default. */
  createServiceStatus?: (service: string) => object | Promise<object>
  /** Returns the wall-clock time, in milliseconds since the epoch. */
  getWallClockMs: () => number
}

/** Metadata that the HTTP gateway passes to the actions. */
interface Meta {
  token: TokenRecord
  $statusCode: number
  $responseHeaders: Record<string, string>
  ifMatch: string | undefined
  ifNoneMatch: string | undefined
  submissionId: string | undefined
  /** Parsed body, if the gateway passes it separately from the parameters. */
  body?: unknown
}

type ActionContext<P> = Context<P, Meta>

/**
 * Creates the schema of the service.
 *
 * @param options The platform and the state of the instance
 * @returns A Moleculer service schema
 */
export function createOperatorsService (options: CreateOperatorsServiceOptions): ServiceSchema {
  /** Identifiers of submissions that are in progress or whose outcome is unknown. A further submission with one of them is a retry. */
  const unresolvedSubmissions = new Set<string>()

  function findDocument (service: string): AcceptedDocument | undefined {
    return options.listDocuments().find(accepted => accepted.document.service === service)
  }

  /** Finds the document of a service and checks that the token may read it; otherwise sets the status of the refusal. */
  function findReadableDocument (call: ActionContext<{ service: string }>): { accepted: AcceptedDocument } | { refusal: object } {
    const accepted = findDocument(call.params.service)
    if (accepted === undefined) return { refusal: reply(call, 404, { title: 'unknown_service' }) }
    if (!isReadableBy(accepted.document, call.meta.token.team)) return { refusal: reply(call, 403, { title: 'other_team' }) }
    return { accepted }
  }

  async function submit (call: ActionContext<{ service: string }>, edit: { document: ServiceDocument, baseRevision: number, submissionId: string }): Promise<object> {
    const { document, baseRevision, submissionId } = edit
    const isRetry = unresolvedSubmissions.has(submissionId)
    addIdentifier(unresolvedSubmissions, submissionId)
    const result = await submitDocument(options.platform, {
      ...edit,
      author: call.meta.token.name,
      team: call.meta.token.team,
      nowMs: options.getWallClockMs(),
      isRetry,
      checkChange: current => checkDocument(document, { current, targets: options.listTargets?.() ?? [] }).match(() => [], findings => findings)
    })
    const isOutcomeKnown = result.isOk() || result.error.kind !== SubmissionFailureKind.Unknown
    if (isOutcomeKnown) unresolvedSubmissions.delete(submissionId)
    return result.match(accepted => replyAccepted(call, accepted, baseRevision), failure => replyFailure(call, failure))
  }

  function replyAccepted (call: ActionContext<object>, accepted: AcceptedDocument, baseRevision: number): object {
    options.mergeDocument(accepted)
    call.meta.$responseHeaders = { ETag: `"${accepted.revision}"` }
    return reply(call, baseRevision === 0 ? 201 : 200, accepted)
  }

  return {
    name: 'operators',
    actions: {
      listDocuments (call: ActionContext<object>) {
        return { documents: options.listDocuments().filter(accepted => isReadableBy(accepted.document, call.meta.token.team)) }
      },
      getDocument (call: ActionContext<{ service: string }>) {
        const found = findReadableDocument(call)
        if ('refusal' in found) return found.refusal
        call.meta.$responseHeaders = { ETag: `"${found.accepted.revision}"` }
        return found.accepted
      },
      async getHistory (call: ActionContext<{ service: string }>) {
        const found = findReadableDocument(call)
        if ('refusal' in found) return found.refusal
        const history = await readHistory(options.platform, call.params.service)
        return history.match(entries => ({ service: call.params.service, history: entries }), failure => reply(call, 503, { title: 'not-run', detail: failure.detail }))
      },
      async getServiceStatus (call: ActionContext<{ service: string }>) {
        const found = findReadableDocument(call)
        if ('refusal' in found) return found.refusal
        return await options.createServiceStatus?.(call.params.service) ?? {}
      },
      async putDocument (call: ActionContext<{ service: string } & Record<string, unknown>>) {
        const baseRevision = parseBaseRevision(call.meta)
        if (baseRevision === undefined) return reply(call, 428, { title: 'precondition_required', detail: 'Neither If-Match with a revision nor If-None-Match: * is present' })
        const { submissionId } = call.meta
        if (submissionId === undefined || !submissionIdPattern.test(submissionId)) return reply(call, 400, { title: 'bad_request', detail: 'Submission-Id is missing or does not consist of 1 to 128 visible ASCII characters' })
        const existing = findDocument(call.params.service)
        if (existing !== undefined && !isReadableBy(existing.document, call.meta.token.team)) return reply(call, 403, { title: 'other_team' })
        const checked = checkDocument(call.meta.body ?? call.params, { service: call.params.service })
        if (checked.isErr()) return reply(call, 422, { title: SubmissionFailureKind.Findings, findings: checked.error })
        return submit(call, { document: checked.value, baseRevision, submissionId })
      },
      getStatus: async () => options.createStatus()
    }
  }
}

/** Adds an identifier and evicts the oldest one above the limit. */
function addIdentifier (identifiers: Set<string>, identifier: string): void {
  identifiers.add(identifier)
  const [oldest] = identifiers
  if (identifiers.size > maxUnresolvedSubmissions && oldest !== undefined) identifiers.delete(oldest)
}

function parseBaseRevision (meta: Meta): number | undefined {
  if (meta.ifNoneMatch === '*') return 0
  const revision = /^"?([1-9]\d{0,8})"?$/.exec(meta.ifMatch ?? '')?.[1]
  return revision === undefined ? undefined : Number(revision)
}

function reply (call: { meta: Meta }, status: number, body: object): object {
  call.meta.$statusCode = status
  return body
}

function replyFailure (call: { meta: Meta }, failure: SubmissionFailure): object {
  const { kind, detail } = failure
  switch (kind) {
    case SubmissionFailureKind.RevisionConflict: return reply(call, 412, { title: kind, detail, revision: failure.current?.revision ?? 0, current: failure.current, difference: failure.difference })
    case SubmissionFailureKind.OtherTeam: return reply(call, 403, { title: kind, detail })
    case SubmissionFailureKind.Findings: return reply(call, 422, { title: kind, findings: failure.findings })
    case SubmissionFailureKind.NotRun: return reply(call, 503, { title: 'not-run', detail })
    case SubmissionFailureKind.Unknown: return reply(call, 504, { title: 'unknown', detail })
  }
}
