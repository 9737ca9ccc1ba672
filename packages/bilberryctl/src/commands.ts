/**
 * The sub-commands of `bilberryctl`; each resolves to its exit status.
 *
 * @module
 */
import type { AcceptedDocument, Difference, DocumentFinding } from '@bilberryworks/steering'
import type { ApiClient, ApiResponse } from './api_client.ts'
import { randomUUID } from 'node:crypto'
import { command, flag, number, option, optional, positional, restPositionals, string, subcommands } from 'cmd-ts'
import { createApiClient } from './api_client.ts'
import { applyDocument, ApplyState, describeResponse, waitUntilInForce } from './apply_document.ts'
import { ExitStatus } from './exit_status.ts'
import { describeRequest } from './describe_request.ts'
import { readLogLines } from './log_lines.ts'
import { readDocument } from './read_document.ts'
import { diffValues, renderTable } from './render.ts'

const endpoint = option({ type: string, long: 'endpoint', env: 'BILBERRY_ENDPOINT', description: 'Listener of an instance, http://host:port: that for operators; for lookup that for callers' })
const tokenFile = option({ type: optional(string), long: 'token-file', env: 'BILBERRY_TOKEN_FILE', description: 'File that holds your bearer token' })
const caFile = option({ type: optional(string), long: 'ca', description: 'PEM file of the certificate authority, where the endpoint is https' })
const json = flag({ long: 'json', description: 'Print JSON in place of a table' })
const file = positional({ type: string, displayName: 'FILE', description: 'A document, or what "get --json" printed' })
const service = positional({ type: string, displayName: 'SERVICE', description: 'Name of a service' })
const connection = { endpoint, tokenFile, caFile, json }

interface Connection {
  endpoint: string
  tokenFile: string | undefined
  caFile: string | undefined
  json: boolean
}

/** Calls an interface and hands a successful answer on; prints any other. */
async function sendCall (options: Connection, path: string, handle: (body: unknown, client: ApiClient) => ExitStatus): Promise<ExitStatus> {
  await using client = createApiClient(options)
  const response = await client.send({ method: 'GET', path })
  if (response.isErr()) return failCommand(response.error.detail)
  return response.value.status === 200 ? handle(response.value.body, client) : failWithResponse(response.value)
}

function failCommand (detail: string, status = ExitStatus.Refused): ExitStatus {
  console.error(detail)
  return status
}

function failWithResponse (response: ApiResponse): ExitStatus {
  const { findings } = (response.body ?? {}) as { findings?: DocumentFinding[] }
  if (findings !== undefined) return printFindings(findings, false)
  return failCommand(describeResponse(response))
}

function printFindings (findings: DocumentFinding[], asJson: boolean): ExitStatus {
  if (asJson) console.log(JSON.stringify({ findings }))
  else for (const finding of findings) console.error(`${finding.pointer === '' ? '/' : finding.pointer}: ${finding.message}`)
  return ExitStatus.Refused
}

function printResult (options: { json: boolean }, body: unknown, render: () => string): ExitStatus {
  console.log(options.json ? JSON.stringify(body) : render())
  return ExitStatus.Done
}

const check = command({
  name: 'check',
  description: 'Check a document without asking anybody',
  args: { file, json },
  async handler (args) {
    const read = readDocument(args.file)
    if (read.isErr()) return printFindings(read.error, args.json)
    return printResult(args, { findings: [] }, () => 'No findings')
  }
})

const get = command({
  name: 'get',
  description: 'Print the document of a service',
  args: { service, ...connection },
  handler: args => sendCall(args, `/v1/documents/${encodeURIComponent(args.service)}`, body => printResult(args, body, () => JSON.stringify(body, undefined, 2)))
})

const list = command({
  name: 'list',
  description: 'List the documents that your token opens',
  args: connection,
  handler: args => sendCall(args, '/v1/documents', body => printResult(args, body, () => {
    const { documents } = body as { documents: AcceptedDocument[] }
    return documents.length === 0 ? 'No documents' : renderTable(documents.map(describeAccepted))
  }))
})

const history = command({
  name: 'history',
  description: 'Show who changed the document of a service, and when',
  args: { service, ...connection },
  handler: args => sendCall(args, `/v1/documents/${encodeURIComponent(args.service)}/history`, body => printResult(args, body, () => {
    const entries = (body as { history: HistoryEntry[] }).history
    return entries.length === 0 ? 'No history' : renderTable(entries.map(describeEntry))
  }))
})

/** One edit, as the operators' interface tells it. */
type HistoryEntry = Pick<AcceptedDocument, 'revision' | 'author' | 'acceptedAtMs' | 'submissionId'> & { changes: Difference[] }

function describeEntry ({ revision, author, acceptedAtMs, submissionId, changes }: HistoryEntry): Record<string, unknown> {
  return { revision, author, accepted: new Date(acceptedAtMs).toISOString(), submission: submissionId, changed: changes.map(change => change.pointer).join(' ') }
}

function describeAccepted (accepted: AcceptedDocument): Record<string, unknown> {
  const { revision, author, acceptedAtMs, submissionId } = accepted
  return { service: accepted.document.service, revision, author, accepted: new Date(acceptedAtMs).toISOString(), submission: submissionId }
}

const apply = command({
  name: 'apply',
  description: 'Submit a document; the same submission is repeated where its answer is lost',
  args: {
    file,
    ...connection,
    wait: option({ type: optional(number), long: 'wait', description: 'Seconds to wait until each live instance has it in force' }),
    submissionId: option({ type: optional(string), long: 'submission-id', description: 'Identifier of an earlier submission whose outcome was unknown' })
  },
  async handler (args) {
    const read = readDocument(args.file)
    if (read.isErr()) return printFindings(read.error, args.json)
    await using client = createApiClient(args)
    const submissionId = args.submissionId ?? randomUUID()
    const result = await applyDocument(client, read.value, { submissionId })
    if (result.state === ApplyState.Unknown) {
      return failCommand(`Outcome is unknown: ${result.detail}\nRepeat with --submission-id ${submissionId}`, ExitStatus.Unknown)
    }
    const { accepted } = result
    if (accepted === undefined) return result.response === undefined ? failCommand(result.detail ?? '') : failWithResponse(result.response)
    if (args.wait !== undefined) {
      const behind = await waitUntilInForce(client, accepted.document.service, { revision: accepted.revision, timeoutMs: args.wait * 1000 })
      if (behind.length > 0) return failCommand(`Revision ${accepted.revision} is accepted, but was not seen in force at: ${behind.join(', ')}`, ExitStatus.Unknown)
    }
    return printResult(args, accepted, () => `Revision ${accepted.revision} of "${accepted.document.service}" is ${args.wait === undefined ? 'accepted' : 'in force'}`)
  }
})

const diff = command({
  name: 'diff',
  description: 'Show what a file would change',
  args: { file, ...connection },
  async handler (args) {
    const read = readDocument(args.file)
    if (read.isErr()) return printFindings(read.error, args.json)
    const { document } = read.value
    return await sendCall(args, `/v1/documents/${document.service}`, body => {
      const differences = diffValues((body as AcceptedDocument).document, document)
      return printResult(args, { differences }, () => differences.length === 0 ? 'No differences' : renderTable(differences))
    })
  }
})

const status = command({
  name: 'status',
  description: 'Show the state of the instances, or the shift of a service',
  args: { service: positional({ type: optional(string), displayName: 'SERVICE' }), ...connection },
  handler: args => sendCall(args, args.service === undefined ? '/v1/status' : `/v1/status/${encodeURIComponent(args.service)}`, body => {
    return printResult(args, body, () => renderStatus(body as Record<string, unknown>))
  })
})

/** Renders plain values one a line and lists as tables. */
function renderStatus (body: Record<string, unknown>): string {
  const isTable = (value: unknown): value is Array<Record<string, unknown>> => Array.isArray(value) && typeof value[0] === 'object'
  const plain = Object.entries(body).filter(([, value]) => !isTable(value))
  const tables = Object.entries(body).filter((entry): entry is [string, Array<Record<string, unknown>>] => isTable(entry[1]))
  const lines = plain.map(([name, value]) => `${name}: ${typeof value === 'object' ? JSON.stringify(value) : String(value)}`)
  return [...lines, ...tables.map(([name, rows]) => `\n${name}:\n${renderTable(rows)}`)].join('\n')
}

const lookup = command({
  name: 'lookup',
  description: 'Ask which instances a caller is told to use; --endpoint is the listener for callers',
  args: { service, ...connection, client: option({ type: optional(string), long: 'client', description: 'IP number of the caller; your own by default' }) },
  handler (args) {
    const query = args.client === undefined ? '' : `?client=${encodeURIComponent(args.client)}`
    return sendCall(args, `/v1/services/${encodeURIComponent(args.service)}/entries${query}`, body => printResult(args, body, () => {
      const lookUp = body as { revision: number, ttlSeconds: number, pin: string, entries: Array<Record<string, unknown>> }
      return `revision: ${lookUp.revision}\nttlSeconds: ${lookUp.ttlSeconds}\npin: ${lookUp.pin}\n\n${renderTable(lookUp.entries)}`
    }))
  }
})

const explain = command({
  name: 'explain',
  description: 'Tell the story of a request from the logs of the instances',
  args: {
    id: positional({ type: string, displayName: 'ID', description: 'Identifier of the request' }),
    files: restPositionals({ type: string, displayName: 'FILE', description: 'Logs of the instances' }),
    json
  },
  async handler (args) {
    if (args.files.length === 0) return failCommand('No log files were named', ExitStatus.Usage)
    const steps = describeRequest(args.id, await readLogLines(args.files, args.id))
    if (steps.length === 0) return failCommand(`No line names the request "${args.id}"`)
    const startMs = steps[0]!.atMs
    return printResult(args, { id: args.id, steps }, () => renderTable(steps.map(({ atMs, instance, kind, text }) => ({ ms: atMs - startMs, instance, kind, what: text }))))
  }
})

/** The command line. */
export const commandLine = subcommands({
  name: 'bilberryctl',
  description: 'Drives bilberryworks by the documents of your services. Exit status: 0 done, 1 refused or findings, 2 usage, 3 outcome unknown.',
  cmds: { check, get, list, apply, diff, history, status, lookup, explain }
})
