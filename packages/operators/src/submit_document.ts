/**
 * Accepts documents: durable once, by compare-and-set on the service's revision.
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
  /** The service belongs to another team. */
  OtherTeam = 'other_team',
  /** The document is at fault. */
  Findings = 'findings',
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
  /** What the submitted document changes against the one in force, where another edit came first. */
  difference?: Difference[]
  /** What is wrong with the document. */
  findings?: DocumentFinding[]
}

/** A document that an operator submits. */
export interface Submission {
  /** The document, checked against its schema. */
  document: ServiceDocument
  /** Revision that the operator edited; 0 for a new document. */
  baseRevision: number
  /** Identifies the submission over all its repeats. */
  submissionId: string
  /** Name of the token. */
  author: string
  /** Team of the token. */
  team: string
  /** Wall-clock time, in milliseconds since the epoch. */
  nowMs: number
  /** Whether an earlier call with this identifier is known of which it can't be told what became of it. */
  isRepeat: boolean
  /** Checks the document against the one that it replaces, as read from the platform. */
  checkChange: (current: ServiceDocument | undefined) => DocumentFinding[]
}

type WriteAttempt = Result<AcceptedDocument | undefined, SubmissionFailure>

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
  if (earlier.isErr()) return failWithoutWrite(submission, `Platform can't be asked: ${earlier.error.detail}`)
  if (earlier.value !== undefined) return describeSubmission(platform, earlier.value, submission)
  let isIdentifierTaken = false
  for (let attemptNumber = 0; attemptNumber < maxWriteAttempts; attemptNumber++) {
    const attempt = await writeDocument(platform, submission, { markIdentifierTaken: () => { isIdentifierTaken = true } })
    if (attempt.isErr()) return err(attempt.error)
    if (attempt.value !== undefined) return ok(attempt.value)
  }
  return isIdentifierTaken
    ? fail(SubmissionFailureKind.Unknown, 'Submission was taken, but what became of it can\'t be read now; repeat with the same Submission-Id')
    : fail(SubmissionFailureKind.NotRun, 'Too many documents are being submitted at once')
}

/** Tries once; resolves to `undefined` where another write came between. */
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
  const written = await writeAccepted(platform, accepted, row.value?.version ?? 0)
  if (written.isOk()) return ok(accepted)
  switch (written.error.kind) {
    case PlatformFailureKind.Unavailable: return failWithoutWrite(submission, written.error.detail)
    case PlatformFailureKind.Unknown: return resolveLostResponse(platform, submission)
    case PlatformFailureKind.Conflict: {
      if (written.error.conflicts?.some(conflict => conflict.table === TableName.Submissions) !== true) return ok(undefined)
      markIdentifierTaken()
      const existing = await readSubmission(platform, submission)
      return existing.isOk() && existing.value !== undefined ? describeSubmission(platform, existing.value, submission) : ok(undefined)
    }
  }
}

/** Writes a document and all that belongs to it, or nothing. */
async function writeAccepted (platform: Platform, accepted: AcceptedDocument, version: number): Promise<Result<void, PlatformFailure>> {
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
    const conflict: SubmissionFailure = { kind: SubmissionFailureKind.RevisionConflict, detail: `Revision is ${currentRevision}, not ${baseRevision}` }
    return current === undefined ? conflict : { ...conflict, current, difference: diffDocuments(current.document, document) }
  }
  const findings = submission.checkChange(current?.document)
  if (access === DocumentAccess.OwnerChanged) findings.push({ pointer: '/ownerTeam', message: `must be "${team}", the team that submits; use "handOverTo" to hand the service over` })
  return findings.length > 0 ? { kind: SubmissionFailureKind.Findings, detail: 'Document has findings', findings } : undefined
}

/** Gives a refusal out, unless an earlier call with the same identifier was accepted meanwhile. */
async function confirmRefusal (platform: Platform, submission: Submission, refusal: SubmissionFailure): Promise<WriteAttempt> {
  if (refusal.kind !== SubmissionFailureKind.RevisionConflict) return err(refusal)
  const stored = await readSubmission(platform, submission)
  if (stored.isErr()) return fail(SubmissionFailureKind.Unknown, `Platform can't be asked what became of the submission: ${stored.error.detail}`)
  return stored.value === undefined ? err(refusal) : describeSubmission(platform, stored.value, submission)
}

/** Finds out what became of a write whose answer was lost, and fences it off where it has not happened. */
async function resolveLostResponse (platform: Platform, submission: Submission): Promise<Result<AcceptedDocument, SubmissionFailure>> {
  const abandoned: SubmissionRow = { state: SubmissionState.Abandoned, service: submission.document.service, revision: 0 }
  const fenced = await platform.writeRows([{ table: TableName.Submissions, key: submission.submissionId, ifVersion: 0, value: abandoned }])
  if (fenced.isOk()) return fail(SubmissionFailureKind.NotRun, 'Platform did not take the document; use a new Submission-Id')
  const stored = await readSubmission(platform, submission)
  if (stored.isErr() || stored.value === undefined) {
    return fail(SubmissionFailureKind.Unknown, 'Answer of the platform was lost; repeat with the same Submission-Id')
  }
  return describeSubmission(platform, stored.value, submission)
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
  const accepted = history.value.value as AcceptedDocument
  if (diffDocuments(accepted.document, submission.document).length > 0) {
    return fail(SubmissionFailureKind.NotRun, `Submission-Id was used for another document, which became revision ${row.revision}`)
  }
  return ok(accepted)
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

/** Fails a call that wrote nothing; an earlier call with the same identifier may have. */
function failWithoutWrite<T> (submission: Submission, detail: string): Result<T, SubmissionFailure> {
  return fail(submission.isRepeat ? SubmissionFailureKind.Unknown : SubmissionFailureKind.NotRun, detail)
}

function fail<T> (kind: SubmissionFailureKind, detail: string): Result<T, SubmissionFailure> {
  return err({ kind, detail })
}
