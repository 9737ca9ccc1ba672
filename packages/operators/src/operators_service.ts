/**
 * The moleculer service behind the operators' interface.
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
  /** The platform. */
  platform: Platform
  /** Lists the documents in force here. */
  listDocuments: () => AcceptedDocument[]
  /** Lists the targets known, to check weights against; none by default. */
  listTargets?: () => TargetRecord[]
  /** Takes an accepted document over at once. */
  mergeDocument: (accepted: AcceptedDocument) => void
  /** Describes the state of the system. */
  createStatus: () => object | Promise<object>
  /** Describes the state of a service. */
  createServiceStatus?: (service: string) => object | Promise<object>
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
  /** Body as parsed, where the gateway hands it over apart from the parameters. */
  body?: unknown
}

type Call<P> = Context<P, Meta>

/**
 * Creates the service.
 *
 * @param options The platform and the instance's knowledge
 * @returns A moleculer service schema
 */
export function createOperatorsService (options: CreateOperatorsServiceOptions): ServiceSchema {
  /** Submissions running, or of which it could not be told what became of them. */
  const unresolvedSubmissions = new Set<string>()

  function findDocument (service: string): AcceptedDocument | undefined {
    return options.listDocuments().find(accepted => accepted.document.service === service)
  }

  /** Finds a document that the token opens, or sets the refusal. */
  function findReadableDocument (call: Call<{ service: string }>): { accepted: AcceptedDocument } | { refusal: object } {
    const accepted = findDocument(call.params.service)
    if (accepted === undefined) return { refusal: reply(call, 404, { title: 'unknown_service' }) }
    if (!isReadableBy(accepted.document, call.meta.token.team)) return { refusal: reply(call, 403, { title: 'other_team' }) }
    return { accepted }
  }

  async function submit (call: Call<{ service: string }>, edit: { document: ServiceDocument, baseRevision: number, submissionId: string }): Promise<object> {
    const { document, baseRevision, submissionId } = edit
    const isRepeated = unresolvedSubmissions.has(submissionId)
    addIdentifier(unresolvedSubmissions, submissionId)
    const result = await submitDocument(options.platform, {
      ...edit,
      author: call.meta.token.name,
      team: call.meta.token.team,
      nowMs: options.getWallClockMs(),
      isRepeat: isRepeated,
      checkChange: current => checkDocument(document, { current, targets: options.listTargets?.() ?? [] }).match(() => [], findings => findings)
    })
    const isOutcomeKnown = result.isOk() || result.error.kind !== SubmissionFailureKind.Unknown
    if (isOutcomeKnown) unresolvedSubmissions.delete(submissionId)
    return result.match(accepted => replyAccepted(call, accepted, baseRevision), failure => replyFailure(call, failure))
  }

  function replyAccepted (call: Call<object>, accepted: AcceptedDocument, baseRevision: number): object {
    options.mergeDocument(accepted)
    call.meta.$responseHeaders = { ETag: `"${accepted.revision}"` }
    return reply(call, baseRevision === 0 ? 201 : 200, accepted)
  }

  return {
    name: 'operators',
    actions: {
      listDocuments (call: Call<object>) {
        return { documents: options.listDocuments().filter(accepted => isReadableBy(accepted.document, call.meta.token.team)) }
      },
      getDocument (call: Call<{ service: string }>) {
        const opened = findReadableDocument(call)
        if ('refusal' in opened) return opened.refusal
        call.meta.$responseHeaders = { ETag: `"${opened.accepted.revision}"` }
        return opened.accepted
      },
      async getHistory (call: Call<{ service: string }>) {
        const opened = findReadableDocument(call)
        if ('refusal' in opened) return opened.refusal
        const history = await readHistory(options.platform, call.params.service)
        return history.match(entries => ({ service: call.params.service, history: entries }), failure => reply(call, 503, { title: 'not-run', detail: failure.detail }))
      },
      async getServiceStatus (call: Call<{ service: string }>) {
        const opened = findReadableDocument(call)
        if ('refusal' in opened) return opened.refusal
        return await options.createServiceStatus?.(call.params.service) ?? {}
      },
      async putDocument (call: Call<{ service: string } & Record<string, unknown>>) {
        const baseRevision = parseBaseRevision(call.meta)
        if (baseRevision === undefined) return reply(call, 428, { title: 'precondition_required', detail: 'If-Match with a revision, or If-None-Match: *, is missing' })
        const { submissionId } = call.meta
        if (submissionId === undefined || !submissionIdPattern.test(submissionId)) return reply(call, 400, { title: 'bad_request', detail: 'Submission-Id is missing, or not 1 to 128 visible ASCII characters' })
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

/** Adds an identifier; the oldest is forgotten where there are too many. */
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
