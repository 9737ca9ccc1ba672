import type { MemoryCall, MemoryPlatform } from '@bilberryworks/platform'
import type { AcceptedDocument, ServiceDocument, ShiftRow } from '@bilberryworks/steering'
import type { Submission } from './submit_document.ts'
import { createMemoryPlatform, indexKey, MemoryFault, TableName } from '@bilberryworks/platform'
import { Objective } from '@bilberryworks/steering'
import test from 'ava'
import fc from 'fast-check'
import { readHistory } from './read_history.ts'
import { SubmissionFailureKind, submitDocument } from './submit_document.ts'

const seed = Number(process.env['FC_SEED'] ?? 4)

function createDocument (cap: number, ownerTeam = 'a'): ServiceDocument {
  const limits = { maxBodyBytes: 1, maxUploadBytes: 1, maxQueued: 1 }
  return { service: 'api', ownerTeam, regionWeights: { r: 1 }, shiftCap: cap, shiftStepMs: 1_000, leavingTargets: [], classes: [], objective: Objective.Headroom, limits }
}

function createSubmission (id: string, change: Partial<Submission> = {}): Submission {
  return { document: createDocument(0.1), baseRevision: 0, submissionId: id, author: 'n', team: 'a', nowMs: 0, isRetry: false, checkChange: () => [], ...change }
}

async function submit (platform: MemoryPlatform, submission: Submission): Promise<string> {
  const result = await submitDocument(platform, submission)
  return result.match(accepted => `accepted ${accepted.revision}`, failure => failure.kind)
}

function countRevisions (platform: MemoryPlatform): number {
  return platform.listValues(TableName.History).length
}

/** Applies faults to calls by their number, counted from 1 over the calls that `select` accepts. */
function applyFaults (platform: MemoryPlatform, faults: Record<number, MemoryFault>, select: (call: MemoryCall) => boolean): void {
  let count = 0
  platform.chooseFault = call => select(call) ? faults[++count] : undefined
}

const { Outage, LostResponse, LostRequest, Delayed } = MemoryFault
const isWrite = (call: MemoryCall): boolean => call.writes
const isAnyCall = (): boolean => true

/** Faults during the first submission, its outcome, the outcome of a retry after delayed writes were applied, and the final number of revisions. */
const cases: Array<[name: string, faults: Record<number, MemoryFault>, select: (call: MemoryCall) => boolean, first: string, repeat: string, revisions: number]> = [
  ['no fault', {}, isAnyCall, 'accepted 1', 'accepted 1', 1],
  ['outage during the first read', { 1: Outage }, isAnyCall, 'not_run', 'accepted 1', 1],
  ['outage during the second read', { 2: Outage }, isAnyCall, 'not_run', 'accepted 1', 1],
  ['outage during the index read', { 3: Outage }, isAnyCall, 'not_run', 'accepted 1', 1],
  ['outage during the write', { 1: Outage }, isWrite, 'not_run', 'accepted 1', 1],
  ['response to a read is lost', { 2: LostResponse }, isAnyCall, 'not_run', 'accepted 1', 1],
  ['response to the write is lost', { 1: LostResponse }, isWrite, 'accepted 1', 'accepted 1', 1],
  ['request of the write is lost', { 1: LostRequest }, isWrite, 'not_run', 'not_run', 0],
  ['write arrives after the fence', { 1: Delayed }, isWrite, 'not_run', 'not_run', 0],
  ['responses to write and fence are lost', { 1: LostResponse, 2: LostResponse }, isWrite, 'accepted 1', 'accepted 1', 1],
  ['request of the write and response to the fence are lost', { 1: LostRequest, 2: LostResponse }, isWrite, 'not_run', 'not_run', 0],
  ['write and fence are delayed, the write arrives first', { 1: Delayed, 2: Delayed }, isWrite, 'unknown', 'accepted 1', 1],
  ['request of the write is lost, fence is delayed', { 1: LostRequest, 2: Delayed }, isWrite, 'unknown', 'not_run', 0],
  ['requests of write and fence are lost', { 1: LostRequest, 2: LostRequest }, isWrite, 'unknown', 'accepted 1', 1],
  ['write is delayed, outage during the fence', { 1: Delayed, 2: Outage }, isWrite, 'unknown', 'accepted 1', 1],
  ['response to the write is lost, then outage', { 4: LostResponse, 5: Outage, 6: Outage }, isAnyCall, 'unknown', 'accepted 1', 1]
]

for (const [name, faults, select, firstOutcome, retryOutcome, revisions] of cases) {
  test(`submits at most once: ${name}`, async t => {
    const platform = createMemoryPlatform()
    applyFaults(platform, faults, select)
    t.is(await submit(platform, createSubmission('s')), firstOutcome)
    platform.chooseFault = () => undefined
    platform.applyDelayedWrites()
    t.is(await submit(platform, createSubmission('s')), retryOutcome)
    t.is(countRevisions(platform), revisions)
  })
}

test('accepts one of two concurrent edits and refuses the other with the difference', async t => {
  const platform = createMemoryPlatform()
  const results = await Promise.all([0.2, 0.3].map(cap => submitDocument(platform, createSubmission(`s${cap}`, { document: createDocument(cap) }))))
  t.is(countRevisions(platform), 1)
  const failure = results.find(result => result.isErr())!._unsafeUnwrapErr()
  t.is(failure.kind, SubmissionFailureKind.RevisionConflict)
  t.is(failure.current?.revision, 1)
  t.deepEqual(failure.difference?.map(entry => entry.pointer), ['/shiftCap'])
})

test('creates one revision when retries run concurrently', async t => {
  const platform = createMemoryPlatform()
  t.deepEqual(await Promise.all([1, 2, 3].map(() => submit(platform, createSubmission('s')))), ['accepted 1', 'accepted 1', 'accepted 1'])
  t.is(countRevisions(platform), 1)
})

test('fails a retry during which the delayed fence is applied', async t => {
  const platform = createMemoryPlatform()
  applyFaults(platform, { 1: LostRequest, 2: Delayed }, isWrite)
  t.is(await submit(platform, createSubmission('s')), 'unknown')
  platform.chooseFault = call => {
    if (call.writes) platform.applyDelayedWrites()
    return undefined
  }
  t.is(await submit(platform, createSubmission('s')), 'not_run')
  t.is(countRevisions(platform), 0)
})

test('refuses a second document under the same identifier', async t => {
  const platform = createMemoryPlatform()
  await submit(platform, createSubmission('s'))
  t.is(await submit(platform, createSubmission('s', { document: createDocument(0.5) })), 'not_run')
})

test('checks the owner team against the stored document', async t => {
  const platform = createMemoryPlatform()
  await submit(platform, createSubmission('s'))
  t.is(await submit(platform, createSubmission('x', { baseRevision: 1, team: 'b', document: createDocument(0.1, 'b') })), 'other_team')
  t.is(await submit(platform, createSubmission('y', { baseRevision: 1, document: createDocument(0.1, 'b') })), 'findings')
})

test('reports an unknown outcome for a retry during an outage', async t => {
  const platform = createMemoryPlatform()
  platform.chooseFault = () => Outage
  t.is(await submit(platform, createSubmission('s', { isRetry: true })), 'unknown')
})

test('writes the shift row with the first document only', async t => {
  const platform = createMemoryPlatform()
  await submit(platform, createSubmission('s'))
  const movedDocument = { ...createDocument(0.1), regionWeights: { q: 1 } }
  t.is(await submit(platform, createSubmission('u', { baseRevision: 1, document: movedDocument })), 'accepted 2')
  t.deepEqual(platform.getValue(TableName.Shifts, 'api'), { service: 'api', documentRevision: 1, step: 1, weights: { r: 1 } } satisfies ShiftRow)
  const history = (await readHistory(platform, 'api'))._unsafeUnwrap()
  t.deepEqual(history[1]?.changes.map(change => change.pointer), ['/regionWeights/q', '/regionWeights/r'])
})

test('reports outcomes that match the stored revisions under random faults', async t => {
  const fault = fc.option(fc.constantFrom(Outage, LostResponse, LostRequest, Delayed, MemoryFault.Stale), { nil: undefined, freq: 2 })
  const edit = fc.record({ cap: fc.integer({ min: 1, max: 9 }), callCount: fc.integer({ min: 1, max: 3 }), faults: fc.array(fault, { maxLength: 16 }), appliesDelayed: fc.boolean() })
  await fc.assert(fc.asyncProperty(fc.array(edit, { minLength: 1, maxLength: 4 }), async edits => {
    const platform = createMemoryPlatform()
    const outcomesById = new Map<string, Set<string>>()
    for (const [index, { cap, callCount, faults, appliesDelayed }] of edits.entries()) {
      const queue = [...faults]
      platform.chooseFault = call => {
        const chosen = queue.shift()
        return call.writes && chosen === MemoryFault.Stale ? undefined : chosen
      }
      const id = `s${index}`
      const base = (platform.getValue(TableName.Documents, 'api') as AcceptedDocument | undefined)?.revision ?? 0
      const submission = createSubmission(id, { document: createDocument(cap / 10), baseRevision: base })
      const outcomes = await Promise.all(Array.from({ length: callCount }, () => submit(platform, submission)))
      outcomesById.set(id, new Set(outcomes))
      if (appliesDelayed) platform.applyDelayedWrites()
    }
    platform.applyDelayedWrites()
    const history = platform.listValues(TableName.History) as AcceptedDocument[]
    const index = platform.getValue(TableName.Index, indexKey) as { revisions: Record<string, number> } | undefined
    t.is(index?.revisions['api'] ?? 0, history.length)
    for (const [id, outcomes] of outcomesById) {
      const written = history.filter(accepted => accepted.submissionId === id)
      t.true(written.length <= 1)
      if (edits[Number(id.slice(1))]?.callCount === 1 && outcomes.has('not_run')) t.is(written.length, 0)
      const claims = [...outcomes].filter(outcome => outcome.startsWith('accepted'))
      t.true(claims.every(claim => claim === `accepted ${written[0]?.revision}`))
    }
  }), { seed, numRuns: 500 })
  t.log(`seed ${seed}`)
})
