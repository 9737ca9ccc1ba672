/**
 * Accepts documents: durable once, by compare-and-set on the service's revision.
 *
 * @module
 */
import type { Platform, PlatformFailure } from '@bilberryworks/platform'
import type { AcceptedDocument, ServiceDocument } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { PlatformFailureKind, TableName, writeWithIndex } from '@bilberryworks/platform'
import { err, ok } from 'neverthrow'

const maxRaces = 5

/** What became of a submission. */
export enum SubmissionState {
  /** It was accepted as a revision. */
  Accepted = 'accepted',
  /** It was given up on and can never be accepted. */
  Abandoned = 'abandoned'
}

/** The row that remembers a submission. */
export interface SubmissionRow {
  /** What became of it. */
  state: SubmissionState
  /** Name of the service. */
  service: string
  /** Revision that it became, where accepted. */
  revision: number
}

/** Why a submission was not accepted. */
export enum SubmissionFailureKind {
  /** Another edit came first. */
  RevisionConflict = 'revision_conflict',
  /** Nothing was written, and nothing will be. */
  NotRun = 'not_run',
  /** It can't yet be told. */
  Unknown = 'unknown'
}

/** A submission that was not accepted. */
export interface SubmissionFailure {
  /** Why. */
  kind: SubmissionFailureKind
  /** One sentence for the operator. */
  detail: string
  /** The document in force, where another edit came first. */
  current?: AcceptedDocument
}

/** A document that an operator submits. */
export interface Submission {
  /** The document, checked. */
  document: ServiceDocument
  /** Revision that the operator edited; 0 for a new document. */
  baseRevision: number
  /** Identifies the submission over all its repeats. */
  submissionId: string
  /** Name of the token. */
  author: string
  /** Wall-clock time, in milliseconds since the epoch. */
  nowMs: number
}

/**
 * Submits a document.
 *
 * A repeat with the same identifier answers what became of the first; it never writes a second revision.
 *
 * @param platform The platform
 * @param submission The document and where it comes from
 * @returns The accepted document, or why it was not accepted
 */
export async function submitDocument (platform: Platform, submission: Submission): Promise<Result<AcceptedDocument, SubmissionFailure>> {
  const earlier = await readSubmission(platform, submission)
  if (earlier.isErr()) return fail(SubmissionFailureKind.NotRun, `Platform can't be asked: ${earlier.error.detail}`)
  if (earlier.value !== undefined) return describeSubmission(platform, earlier.value, submission)
  for (let race = 0; race < maxRaces; race++) {
    const attempt = await writeDocument(platform, submission)
    if (attempt.isErr() || attempt.value !== undefined) return attempt as Result<AcceptedDocument, SubmissionFailure>
  }
  return fail(SubmissionFailureKind.NotRun, 'Too many documents are being submitted at once')
}

/** Tries once; resolves to `undefined` where another edit came between. */
async function writeDocument (platform: Platform, submission: Submission): Promise<Result<AcceptedDocument | undefined, SubmissionFailure>> {
  const { service } = submission.document
  const row = await platform.readRow(TableName.Documents, service)
  if (row.isErr()) return fail(SubmissionFailureKind.NotRun, row.error.detail)
  const current = row.value?.value as AcceptedDocument | undefined
  const currentRevision = current?.revision ?? 0
  if (currentRevision !== submission.baseRevision) {
    const conflict: SubmissionFailure = { kind: SubmissionFailureKind.RevisionConflict, detail: `Revision is ${currentRevision}, not ${submission.baseRevision}` }
    if (current !== undefined) conflict.current = current
    const settled = await readSubmission(platform, submission)
    return settled.isOk() && settled.value !== undefined ? describeSubmission(platform, settled.value, submission) : err(conflict)
  }
  const revision = currentRevision + 1
  const accepted: AcceptedDocument = {
    revision, document: submission.document, acceptedAtMs: submission.nowMs, author: submission.author, submissionId: submission.submissionId
  }
  const remembered: SubmissionRow = { state: SubmissionState.Accepted, service, revision }
  const written = await writeWithIndex(platform, [
    { table: TableName.Documents, key: service, ifVersion: row.value?.version ?? 0, value: accepted },
    { table: TableName.Submissions, key: submission.submissionId, ifVersion: 0, value: remembered },
    { table: TableName.History, key: formatHistoryKey(service, revision), ifVersion: 0, value: accepted }
  ], index => ({ ...index, revisions: { ...index.revisions, [service]: revision } }))
  if (written.isOk()) return ok(accepted)
  if (written.error.kind === PlatformFailureKind.Conflict) return ok(undefined)
  if (written.error.kind === PlatformFailureKind.Unavailable) return fail(SubmissionFailureKind.NotRun, written.error.detail)
  return resolveLostAnswer(platform, submission)
}

/** Finds out what became of a write whose answer was lost, and fences it off where it has not happened. */
async function resolveLostAnswer (platform: Platform, submission: Submission): Promise<Result<AcceptedDocument, SubmissionFailure>> {
  const abandoned: SubmissionRow = { state: SubmissionState.Abandoned, service: submission.document.service, revision: 0 }
  const fenced = await platform.writeRows([{ table: TableName.Submissions, key: submission.submissionId, ifVersion: 0, value: abandoned }])
  if (fenced.isOk()) return fail(SubmissionFailureKind.NotRun, 'Platform did not take the document')
  const settled = await readSubmission(platform, submission)
  if (settled.isErr() || settled.value === undefined) {
    return fail(SubmissionFailureKind.Unknown, 'Platform took the document, but its answer was lost; repeat with the same Submission-Id')
  }
  return describeSubmission(platform, settled.value, submission)
}

async function readSubmission (platform: Platform, submission: Submission): Promise<Result<SubmissionRow | undefined, PlatformFailure>> {
  const row = await platform.readRow(TableName.Submissions, submission.submissionId)
  return row.map(found => found?.value as SubmissionRow | undefined)
}

async function describeSubmission (platform: Platform, row: SubmissionRow, submission: Submission): Promise<Result<AcceptedDocument, SubmissionFailure>> {
  if (row.service !== submission.document.service) return fail(SubmissionFailureKind.NotRun, `Submission-Id was used for service "${row.service}"`)
  if (row.state === SubmissionState.Abandoned) return fail(SubmissionFailureKind.NotRun, 'Submission was given up on; use a new Submission-Id')
  const history = await platform.readRow(TableName.History, formatHistoryKey(row.service, row.revision))
  if (history.isErr() || history.value === undefined) return fail(SubmissionFailureKind.Unknown, `Submission became revision ${row.revision}, which can't be read now`)
  return ok(history.value.value as AcceptedDocument)
}

/**
 * Formats the key of a revision in the history table, so that keys sort by revision.
 *
 * @param service Name of the service
 * @param revision Revision
 * @returns The key
 */
export function formatHistoryKey (service: string, revision: number): string {
  return `${service}/${String(revision).padStart(9, '0')}`
}

function fail<T> (kind: SubmissionFailureKind, detail: string): Result<T, SubmissionFailure> {
  return err({ kind, detail })
}
