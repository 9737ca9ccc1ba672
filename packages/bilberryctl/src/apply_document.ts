/**
 * Submits a document, and retries the submission while its outcome is unknown.
 *
 * @module
 */
import type { AcceptedDocument } from '@bilberryworks/steering'
import type { ApiClient, ApiResponse } from './api_client.ts'
import type { DocumentFile } from './read_document.ts'

const maxAttempts = 5
const retryDelayMs = 500
const pollIntervalMs = 500

/** Outcome of a submission. */
export enum ApplyState {
  Accepted = 'accepted',
  Refused = 'refused',
  Unknown = 'unknown'
}

/** Result of a submission. */
export interface ApplyResult {
  /** Outcome of the submission. */
  state: ApplyState
  /** Why the document was not accepted, in one sentence. */
  detail?: string
  /** The accepted document. */
  accepted?: AcceptedDocument
  /** The response that refused the submission; absent if no response arrived. */
  response?: ApiResponse
}

/** Options of {@linkcode applyDocument}. */
export interface ApplyDocumentOptions {
  /** Identifies the submission; the same in all retries. */
  submissionId: string
  /** Delay between two attempts, in milliseconds; 500 by default. */
  retryDelayMs?: number
}

/**
 * Submits a document.
 *
 * Makes up to 5 attempts under the same identifier while the outcome is unknown. The instance creates at most one revision
 * per identifier, so that a retry is safe.
 *
 * If the file states no base revision, the submission is based on the current revision, or creates the document if the
 * service has none.
 *
 * @param client Client of the operators' interface
 * @param file The document and its base revision
 * @param options The identifier and the delay between attempts
 * @returns The result of the submission
 */
export async function applyDocument (client: ApiClient, file: DocumentFile, options: ApplyDocumentOptions): Promise<ApplyResult> {
  const { service } = file.document
  const path = `/v1/documents/${service}`
  const base = file.baseRevision ?? await readRevision(client, path)
  if (typeof base === 'object') return base
  const preconditionHeaders: Record<string, string> = base === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${base}"` }
  let detail = ''
  let isPossiblyWritten = false
  for (let attempt = 1; attempt <= maxAttempts; attempt++) {
    const response = await client.send({ method: 'PUT', path, headers: { ...preconditionHeaders, 'submission-id': options.submissionId }, body: file.document })
    if (response.isOk()) {
      if (response.value.status === 200 || response.value.status === 201) return { state: ApplyState.Accepted, accepted: response.value.body as AcceptedDocument }
      // A 503 says that this attempt wrote nothing. It says nothing about an earlier attempt whose response was lost.
      if (response.value.status < 500 || (response.value.status === 503 && !isPossiblyWritten)) return { state: ApplyState.Refused, detail: describeResponse(response.value), response: response.value }
      detail = describeResponse(response.value)
    } else {
      if (response.error.isUnsent && !isPossiblyWritten) return { state: ApplyState.Refused, detail: response.error.detail }
      detail = response.error.detail
    }
    isPossiblyWritten = true
    if (attempt < maxAttempts) await wait(options.retryDelayMs ?? retryDelayMs)
  }
  return { state: ApplyState.Unknown, detail }
}

async function readRevision (client: ApiClient, path: string): Promise<number | ApplyResult> {
  const current = await client.send({ method: 'GET', path })
  if (current.isErr()) return { state: ApplyState.Refused, detail: current.error.detail }
  if (current.value.status === 404) return 0
  if (current.value.status !== 200) return { state: ApplyState.Refused, detail: describeResponse(current.value), response: current.value }
  return (current.value.body as AcceptedDocument).revision
}

/** Options of {@linkcode waitUntilInForce}. */
export interface WaitUntilInForceOptions {
  /** Revision to wait for. */
  revision: number
  /** Longest wait, in milliseconds. */
  timeoutMs: number
}

/**
 * Waits until each live instance has a revision or a later one in force.
 *
 * @param client Client of the operators' interface
 * @param service Name of the service
 * @param options The revision and the longest wait
 * @returns Names of the instances on which the revision was not seen in force, or `every instance` if the status can't be read; empty if it is in force on all of them
 */
export async function waitUntilInForce (client: ApiClient, service: string, options: WaitUntilInForceOptions): Promise<string[]> {
  const deadlineMs = performance.now() + options.timeoutMs
  for (;;) {
    const status = await client.send({ method: 'GET', path: `/v1/status/${service}` })
    const instancesBehind = status.isOk() && status.value.status === 200 ? listInstancesBehind(status.value.body, options.revision) : ['every instance']
    if (instancesBehind.length === 0 || performance.now() >= deadlineMs) return instancesBehind
    await wait(pollIntervalMs)
  }
}

interface ServiceStatusBody {
  instances: Array<{ instance: string, revision?: number }>
  unreachable?: string[]
}

function listInstancesBehind (body: unknown, revision: number): string[] {
  const { instances, unreachable = [] } = body as ServiceStatusBody
  const behind = instances.filter(status => (status.revision ?? 0) < revision).map(status => status.instance)
  return [...new Set([...behind, ...unreachable])]
}

/**
 * Describes a response with an error status in one line.
 *
 * @param response The response
 * @returns The status code, title and detail, separated by colons
 */
export function describeResponse (response: ApiResponse): string {
  const { title = '', detail = '' } = (response.body ?? {}) as { title?: string, detail?: string }
  return [String(response.status), title, detail].filter(part => part !== '').join(': ')
}

async function wait (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
