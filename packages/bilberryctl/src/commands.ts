/**
 * The sub-commands of `bilberryctl`. Each resolves to an exit status.
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

const endpoint = option({ type: string, long: 'endpoint', env: 'BILBERRY_ENDPOINT', description: 'Address of an instance, http://host:port: its listener for operators, or for lookup its listener for callers' })
const tokenFile = option({ type: optional(string), long: 'token-file', env: 'BILBERRY_TOKEN_FILE', description: 'File that contains your bearer token' })
const caFile = option({ type: optional(string), long: 'ca', description: 'PEM file of the certificate authority, for an https endpoint' })
const json = flag({ long: 'json', description: 'Print JSON instead of a table' })
const file = positional({ type: string, displayName: 'FILE', description: 'JSON file with a document, or with the output of "get --json"' })
const service = positional({ type: string, displayName: 'SERVICE', description: 'Name of a service' })
const connection = { endpoint, tokenFile, caFile, json }

interface Connection {
  endpoint: string
  tokenFile: string | undefined
  caFile: string | undefined
  json: boolean
}

/** Sends a GET request and passes the body of a successful response to `handle`. Prints any other response as an error. */
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
  description: 'Validate a document offline',
  args: { file, json },
  async handler (args) {
    const readResult = readDocument(args.file)
    if (readResult.isErr()) return printFindings(readResult.error, args.json)
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
  description: 'List the documents that your token may read',
  args: connection,
  handler: args => sendCall(args, '/v1/documents', body => printResult(args, body, () => {
    const { documents } = body as { documents: AcceptedDocument[] }
    return documents.length === 0 ? 'No documents' : renderTable(documents.map(describeAccepted))
  }))
})

const history = command({
  name: 'history',
  description: 'Show the changes of a service\'s document with their authors and times',
  args: { service, ...connection },
  handler: args => sendCall(args, `/v1/documents/${encodeURIComponent(args.service)}/history`, body => printResult(args, body, () => {
    const entries = (body as { history: HistoryEntry[] }).history
    return entries.length === 0 ? 'No history' : renderTable(entries.map(describeEntry))
  }))
})

/** One change of a document, as the operators' interface returns it. */
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
  description: 'Submit a document; a submission whose response is lost is retried without the risk of a second revision',
  args: {
    file,
    ...connection,
    wait: option({ type: optional(number), long: 'wait', description: 'Longest time to wait until the document is in force on each live instance, in seconds' }),
    submissionId: option({ type: optional(string), long: 'submission-id', description: 'Identifier of an earlier submission to retry because its outcome is unknown' })
  },
  async handler (args) {
    const readResult = readDocument(args.file)
    if (readResult.isErr()) return printFindings(readResult.error, args.json)
    await using client = createApiClient(args)
    const submissionId = args.submissionId ?? randomUUID()
    const result = await applyDocument(client, readResult.value, { submissionId })
    if (result.state === ApplyState.Unknown) {
      return failCommand(`Outcome of the submission is unknown: ${result.detail}\nRetry with --submission-id ${submissionId}`, ExitStatus.Unknown)
    }
    const { accepted } = result
    if (accepted === undefined) return result.response === undefined ? failCommand(result.detail ?? '') : failWithResponse(result.response)
    if (args.wait !== undefined) {
      const instancesBehind = await waitUntilInForce(client, accepted.document.service, { revision: accepted.revision, timeoutMs: args.wait * 1000 })
      if (instancesBehind.length > 0) return failCommand(`Revision ${accepted.revision} is accepted, but was not seen in force on: ${instancesBehind.join(', ')}`, ExitStatus.Unknown)
    }
    return printResult(args, accepted, () => `Revision ${accepted.revision} of "${accepted.document.service}" is ${args.wait === undefined ? 'accepted' : 'in force'}`)
  }
})

const diff = command({
  name: 'diff',
  description: 'Show the differences between the document of a service and a file',
  args: { file, ...connection },
  async handler (args) {
    const readResult = readDocument(args.file)
    if (readResult.isErr()) return printFindings(readResult.error, args.json)
    const { document } = readResult.value
    return await sendCall(args, `/v1/documents/${document.service}`, body => {
      const differences = diffValues((body as AcceptedDocument).document, document)
      return printResult(args, { differences }, () => differences.length === 0 ? 'No differences' : renderTable(differences))
    })
  }
})

const status = command({
  name: 'status',
  description: 'Show the status of the instances, or the region weights of a service',
  args: { service: positional({ type: optional(string), displayName: 'SERVICE' }), ...connection },
  handler: args => sendCall(args, args.service === undefined ? '/v1/status' : `/v1/status/${encodeURIComponent(args.service)}`, body => {
    return printResult(args, body, () => renderStatus(body as Record<string, unknown>))
  })
})

/** Renders lists of objects as tables, and any other value on a line of its own above them. */
function renderStatus (body: Record<string, unknown>): string {
  const isTable = (value: unknown): value is Array<Record<string, unknown>> => Array.isArray(value) && typeof value[0] === 'object'
  const plain = Object.entries(body).filter(([, value]) => !isTable(value))
  const tables = Object.entries(body).filter((entry): entry is [string, Array<Record<string, unknown>>] => isTable(entry[1]))
  const lines = plain.map(([name, value]) => `${name}: ${typeof value === 'object' ? JSON.stringify(value) : String(value)}`)
  return [...lines, ...tables.map(([name, rows]) => `\n${name}:\n${renderTable(rows)}`)].join('\n')
}

const lookup = command({
  name: 'lookup',
  description: 'Show the entry instances that a caller is directed to; --endpoint is the listener for callers',
  args: { service, ...connection, client: option({ type: optional(string), long: 'client', description: 'IP address of the caller; your own by default' }) },
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
  description: 'Print the timeline of a request from the logs of the instances',
  args: {
    id: positional({ type: string, displayName: 'ID', description: 'Identifier of the request' }),
    files: restPositionals({ type: string, displayName: 'FILE', description: 'Log files of the instances' }),
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

/** The command line of `bilberryctl`. */
export const commandLine = subcommands({
  name: 'bilberryctl',
  description: 'Manages the documents that steer the traffic of your services. Exit status: 0 success, 1 refused or invalid, 2 usage error, 3 outcome unknown.',
  cmds: { check, get, list, apply, diff, history, status, lookup, explain }
})
