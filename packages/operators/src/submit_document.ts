/**
 * Accepts each submitted document at most once, by compare-and-set on the revision of the service's document.
 *
 * @module
 */
import type { Platform, PlatformFailure } from '@bilberryworks/platform'
import type { AcceptedDocument, Difference, DocumentFinding, ServiceDocument } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { PlatformFailureKind, TableName, writeWithIndex } from '@bilberryworks/platform'
import { checkDocumentAccess, createShiftRow, diffDocuments, DocumentAccess } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'

const maxWriteAttempts = 5

/** Final state of a submission. */
export enum SubmissionState {
  /** The document was accepted as a revision. */
  Accepted = 'accepted',
  /** The response to the write was lost, and this row was written so that a delayed write fails; the submission can never be accepted. */
  Abandoned = 'abandoned'
}

/** The row that records the final state of a submission. */
export interface SubmissionRow {
  /** Final state of the submission. */
  state: SubmissionState
  /** Name of the service. */
  service: string
  /** Revision that the submission created; 0 if abandoned. */
  revision: number
}

/** Why a submission was not accepted. */
export enum SubmissionFailureKind {
  /** Another edit was accepted since the base revision. */
  RevisionConflict = 'revision_conflict',
  /** The service belongs to another team. */
  OtherTeam = 'other_team',
  /** The document is invalid. */
  Findings = 'findings',
  /** The document was not written and will not be written. */
  NotRun = 'not_run',
  /** The outcome is not known yet; the document may have been written. */
  Unknown = 'unknown'
}

/** A submission that was not accepted. */
export interface SubmissionFailure {
  /** Why the submission was not accepted. */
  kind: SubmissionFailureKind
  /** The cause, in one sentence for the operator. */
  detail: string
  /** The document in force, if `kind` is `RevisionConflict` and the service has one. */
  current?: AcceptedDocument
  /** Differences from the document in force to the submitted one, if `current` is present. */
  difference?: Difference[]
  /** Faults of the document, if `kind` is `Findings`. */
  findings?: DocumentFinding[]
}

/** A document that an operator submits. */
export interface Submission {
  /** The document, validated against its schema. */
  document: ServiceDocument
  /** Revision that the operator edited; 0 for a new document. */
  baseRevision: number
  /** Identifies the submission; the same in all retries. */
  submissionId: string
  /** Name of the operator's token. */
  author: string
  /** Team of the operator's token. */
  team: string
  /** Wall-clock time, in milliseconds since the epoch. */
  nowMs: number
  /** Whether an earlier call with this identifier is in progress or has an unknown outcome. */
  isRetry: boolean
  /** Validates the document against the document that it replaces, as read from the platform. */
  checkChange: (current: ServiceDocument | undefined) => DocumentFinding[]
}

type WriteAttempt = Result<AcceptedDocument | undefined, SubmissionFailure>

/**
 * Submits a document.
 *
 * A retry with the same identifier returns the outcome of the first call and never creates a second revision.
 *
 * @param platform The platform
 * @param submission The document and its submitter
 * @returns The accepted document, or why it was not accepted
 */
export async function submitDocument (platform: Platform, submission: Submission): Promise<Result<AcceptedDocument, SubmissionFailure>> {
  const earlier = await readSubmissionRow(platform, submission)
  if (earlier.isErr()) return failWithoutWrite(submission, `Earlier submissions can't be read from the platform: ${earlier.error.detail}`)
  if (earlier.value !== undefined) return resolveSubmission(platform, earlier.value, submission)
  let isIdentifierTaken = false
  for (let attemptNumber = 0; attemptNumber < maxWriteAttempts; attemptNumber++) {
    const attempt = await writeDocument(platform, submission, { markIdentifierTaken: () => { isIdentifierTaken = true } })
    if (attempt.isErr()) return err(attempt.error)
    if (attempt.value !== undefined) return ok(attempt.value)
  }
  return isIdentifierTaken
    ? fail(SubmissionFailureKind.Unknown, 'Submission-Id is recorded, but its outcome can\'t be read; retry with the same Submission-Id')
    : fail(SubmissionFailureKind.NotRun, 'Too many concurrent submissions; retry later')
}

/** Makes one attempt; resolves to `undefined` if a concurrent write interfered and the attempt is to be repeated. */
async function writeDocument (platform: Platform, submission: Submission, { markIdentifierTaken }: { markIdentifierTaken: () => void }): Promise<WriteAttempt> {
  const { service } = submission.document
  const row = await platform.readRow(TableName.Documents, service)
  if (row.isErr()) return failWithoutWrite(submission, row.error.detail)
  const current = row.value?.value as AcceptedDocument | undefined
  const refusal = checkSubmission(submission, current)
  if (refusal !== undefined) return confirmRefusal(platform, submission, refusal)
  const accepted: AcceptedDocument = {
    revision: submission.baseRevision + 1, document: submission.document, acceptedAtMs: submission.nowMs, author: submission.author, submissionId: submission.submissionId
  }
  const written = await writeAcceptedDocument(platform, accepted, row.value?.version ?? 0)
  if (written.isOk()) return ok(accepted)
  switch (written.error.kind) {
    case PlatformFailureKind.Unavailable: return failWithoutWrite(submission, written.error.detail)
    case PlatformFailureKind.Unknown: return resolveLostResponse(platform, submission)
    case PlatformFailureKind.Conflict: {
      if (written.error.conflicts?.some(conflict => conflict.table === TableName.Submissions) !== true) return ok(undefined)
      markIdentifierTaken()
      const existing = await readSubmissionRow(platform, submission)
      return existing.isOk() && existing.value !== undefined ? resolveSubmission(platform, existing.value, submission) : ok(undefined)
    }
  }
}

/** Writes a document, its submission and history rows, its first shift row and the index row in one transaction. */
async function writeAcceptedDocument (platform: Platform, accepted: AcceptedDocument, version: number): Promise<Result<void, PlatformFailure>> {
  const { revision, document: { service }, submissionId } = accepted
  const isFirst = revision === 1
  const shift = createShiftRow(accepted)
  const submissionRow: SubmissionRow = { state: SubmissionState.Accepted, service, revision }
  return writeWithIndex(platform, [
    { table: TableName.Documents, key: service, ifVersion: version, value: accepted },
    { table: TableName.Submissions, key: submissionId, ifVersion: 0, value: submissionRow },
    { table: TableName.History, key: formatHistoryKey(service, revision), ifVersion: 0, value: accepted },
    ...isFirst ? [{ table: TableName.Shifts, key: service, ifVersion: 0, value: shift }] : []
  ], index => ({
    ...index,
    revisions: { ...index.revisions, [service]: revision },
    shifts: isFirst ? { ...index.shifts, [service]: shift.step } : index.shifts
  }))
}

function checkSubmission (submission: Submission, current: AcceptedDocument | undefined): SubmissionFailure | undefined {
  const { document, team, baseRevision } = submission
  const access = checkDocumentAccess(document, current?.document, { team })
  if (access === DocumentAccess.OtherTeam) return { kind: SubmissionFailureKind.OtherTeam, detail: `Service "${document.service}" belongs to another team` }
  const currentRevision = current?.revision ?? 0
  if (currentRevision !== baseRevision) {
    const conflict: SubmissionFailure = { kind: SubmissionFailureKind.RevisionConflict, detail: `Current revision is ${currentRevision}, but the submission is based on ${baseRevision}` }
    return current === undefined ? conflict : { ...conflict, current, difference: diffDocuments(current.document, document) }
  }
  const findings = submission.checkChange(current?.document)
  if (access === DocumentAccess.OwnerChanged) findings.push({ pointer: '/ownerTeam', message: `must be "${team}", the team of the token; set "handOverTo" to hand the service over to another team` })
  return findings.length > 0 ? { kind: SubmissionFailureKind.Findings, detail: 'Document is invalid', findings } : undefined
}

/** Returns a refusal, unless it is a revision conflict with the revision that an earlier call with the same identifier created. */
async function confirmRefusal (platform: Platform, submission: Submission, refusal: SubmissionFailure): Promise<WriteAttempt> {
  if (refusal.kind !== SubmissionFailureKind.RevisionConflict) return err(refusal)
  const stored = await readSubmissionRow(platform, submission)
  if (stored.isErr()) return fail(SubmissionFailureKind.Unknown, `Outcome of the submission can't be read from the platform: ${stored.error.detail}`)
  return stored.value === undefined ? err(refusal) : resolveSubmission(platform, stored.value, submission)
}

/** Determines the outcome of a write whose response was lost. If the write has not taken effect, fences it off by writing the submission's row as abandoned: a delayed write then fails, because it requires that the row is absent. */
async function resolveLostResponse (platform: Platform, submission: Submission): Promise<Result<AcceptedDocument, SubmissionFailure>> {
  const abandoned: SubmissionRow = { state: SubmissionState.Abandoned, service: submission.document.service, revision: 0 }
  const fenced = await platform.writeRows([{ table: TableName.Submissions, key: submission.submissionId, ifVersion: 0, value: abandoned }])
  if (fenced.isOk()) return fail(SubmissionFailureKind.NotRun, 'Platform did not write the document; retry with a new Submission-Id')
  const stored = await readSubmissionRow(platform, submission)
  if (stored.isErr() || stored.value === undefined) {
    return fail(SubmissionFailureKind.Unknown, 'Response of the platform was lost; retry with the same Submission-Id')
  }
  return resolveSubmission(platform, stored.value, submission)
}

async function readSubmissionRow (platform: Platform, submission: Submission): Promise<Result<SubmissionRow | undefined, PlatformFailure>> {
  const row = await platform.readRow(TableName.Submissions, submission.submissionId)
  return row.map(found => found?.value as SubmissionRow | undefined)
}

async function resolveSubmission (platform: Platform, row: SubmissionRow, submission: Submission): Promise<Result<AcceptedDocument, SubmissionFailure>> {
  if (row.service !== submission.document.service) return fail(SubmissionFailureKind.NotRun, `Submission-Id was already used for service "${row.service}"`)
  if (row.state === SubmissionState.Abandoned) return fail(SubmissionFailureKind.NotRun, 'Submission was abandoned after its response was lost; retry with a new Submission-Id')
  const history = await platform.readRow(TableName.History, formatHistoryKey(row.service, row.revision))
  if (history.isErr() || history.value === undefined) return fail(SubmissionFailureKind.Unknown, `Submission was accepted as revision ${row.revision}, which can't be read from the platform`)
  const accepted = history.value.value as AcceptedDocument
  if (diffDocuments(accepted.document, submission.document).length > 0) {
    return fail(SubmissionFailureKind.NotRun, `Submission-Id was already used for another document, accepted as revision ${row.revision}`)
  }
  return ok(accepted)
}

/**
 * Formats the key of a revision in the history table. Pads the revision with zeros, so that keys sort by revision.
 *
 * @param service Name of the service
 * @param revision Revision of the document
 * @returns The key
 */
export function formatHistoryKey (service: string, revision: number): string {
  return `${service}/${String(revision).padStart(9, '0')}`
}

/** Fails a call that wrote nothing. The outcome is unknown if an earlier call with the same identifier may have written. */
function failWithoutWrite<T> (submission: Submission, detail: string): Result<T, SubmissionFailure> {
  return fail(submission.isRetry ? SubmissionFailureKind.Unknown : SubmissionFailureKind.NotRun, detail)
}

function fail<T> (kind: SubmissionFailureKind, detail: string): Result<T, SubmissionFailure> {
  return err({ kind, detail })
}
