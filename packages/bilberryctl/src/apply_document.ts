/**
 * Submits a document, and finds out what became of it where the answer is lost.
 *
 * @module
 */
import type { AcceptedDocument } from '@bilberryworks/steering'
import type { ApiClient, ApiResponse } from './api_client.ts'
import type { DocumentFile } from './read_document.ts'

const maxAttempts = 5
const retryDelayMs = 500
const pollIntervalMs = 500

/** How a submission ended. */
export enum ApplyState {
  Accepted = 'accepted',
  Refused = 'refused',
  Unknown = 'unknown'
}

/** What became of a submission. */
export interface ApplyResult {
  /** How it ended. */
  state: ApplyState
  /** One sentence, where it was not accepted. */
  detail?: string
  /** The accepted document. */
  accepted?: AcceptedDocument
  /** The last answer, where it was refused. */
  response?: ApiResponse
}

/** Options of {@linkcode applyDocument}. */
export interface ApplyDocumentOptions {
  /** Identifies the submission over all its repeats. */
  submissionId: string
  /** Milliseconds between two attempts; 500 by default. */
  retryDelayMs?: number
}

/**
 * Submits a document.
 *
 * Repeats it a few times under the same identifier while it can't be told what became of it.
 *
 * @param client The operators' interface
 * @param file The document and the revision that it changes
 * @param options The identifier
 * @returns What became of it
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
      // After a lost answer a 503 tells of the repeat alone, not of the first attempt.
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
  /** Milliseconds after which waiting ends. */
  timeoutMs: number
}

/**
 * Waits until each live instance has a revision in force.
 *
 * @param client The operators' interface
 * @param service Name of the service
 * @param options The revision and the time
 * @returns Names of the instances that do not have it in force; empty where all have
 */
export async function waitUntilInForce (client: ApiClient, service: string, options: WaitUntilInForceOptions): Promise<string[]> {
  const deadlineMs = performance.now() + options.timeoutMs
  for (;;) {
    const status = await client.send({ method: 'GET', path: `/v1/status/${service}` })
    const behind = status.isOk() && status.value.status === 200 ? listInstancesBehind(status.value.body, options.revision) : ['every instance']
    if (behind.length === 0 || performance.now() >= deadlineMs) return behind
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
 * Describes an answer that is not a success in one sentence.
 *
 * @param response The answer
 * @returns Status, reason and detail
 */
export function describeResponse (response: ApiResponse): string {
  const { title = '', detail = '' } = (response.body ?? {}) as { title?: string, detail?: string }
  return [String(response.status), title, detail].filter(part => part !== '').join(': ')
}

async function wait (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
