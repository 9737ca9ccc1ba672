import type { IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import { execFile } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createServer } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const main = fileURLToPath(new URL('main.js', import.meta.url))
const document = {
  service: 'api',
  ownerTeam: 'operations',
  regionWeights: { north: 1 },
  shiftCap: 0.1,
  shiftStepMs: 10_000,
  leavingTargets: [],
  classes: [],
  objective: 'latency',
  limits: { maxBodyBytes: 1000, maxUploadBytes: 1000, maxQueued: 10 }
}
const accepted = { revision: 4, document, acceptedAtMs: 0, author: 'someone', submissionId: 'earlier' }
const entries = { service: 'api', revision: 4, ttlSeconds: 5, pin: 'p', entries: [{ instance: 'entry-0', address: '127.0.0.1:1', failureDomain: 'north-a', region: 'north' }] }

/** One scripted response: a status with its body, or a closed connection. */
type Reply = { status: number, body: unknown } | 'cut'

const acceptedReply: Reply = { status: 200, body: { ...accepted, revision: 5 } }
const currentReply: Reply = { status: 200, body: accepted }

interface Run {
  code: number
  stdout: string
  stderr: string
  requests: Array<{ line: string, submission: string | undefined, condition: string | undefined, authorization: string | undefined }>
}

/** Runs the command against a fake server that returns the scripted responses in order, then repeats the last one. */
async function runCommand (args: string[], script: Reply[], content: unknown = document): Promise<Run> {
  const requests: Run['requests'] = []
  const server = createServer((request: IncomingMessage, response) => {
    const header = (name: string): string | undefined => request.headers[name]?.toString()
    requests.push({ line: `${request.method} ${request.url}`, submission: header('submission-id'), condition: header('if-match') ?? header('if-none-match'), authorization: header('authorization') })
    const reply = script[Math.min(requests.length, script.length) - 1] ?? 'cut'
    if (reply === 'cut') request.socket.destroy()
    else request.resume().once('end', () => response.writeHead(reply.status, { 'content-type': 'application/json' }).end(JSON.stringify(reply.body)))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const folder = await mkdtemp(join(tmpdir(), 'bilberryctl-'))
  await writeFile(join(folder, 'document.json'), JSON.stringify(content))
  await writeFile(join(folder, 'token'), 'secret\n')
  const env = { ...process.env, BILBERRY_ENDPOINT: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, BILBERRY_TOKEN_FILE: join(folder, 'token') }
  const run = await new Promise<Run>(resolve => {
    execFile(process.execPath, [main, ...args], { cwd: folder, env }, (error, stdout, stderr) => resolve({ code: Number(error?.code ?? 0), stdout, stderr, requests }))
  })
  server.closeAllConnections()
  server.close()
  await rm(folder, { recursive: true })
  return run
}

const file = 'document.json'
const conflictReply: Reply = { status: 412, body: { title: 'revision_conflict', detail: 'Revision is 5' } }
const behindReply: Reply = { status: 200, body: { instances: [{ instance: 'entry-0', revision: 5 }, { instance: 'entry-1', revision: 4 }], unreachable: [] } }
const inForceReply: Reply = { status: 200, body: { instances: [{ instance: 'entry-0', revision: 5 }, { instance: 'entry-1', revision: 5 }], unreachable: [] } }
const cases: Array<{ name: string, args: string[], script: Reply[], content?: unknown, code: number, shows: RegExp, calls?: number }> = [
  { name: 'prints the help', args: ['--help'], script: [], code: 0, shows: /lookup/ },
  { name: 'rejects a missing sub-command', args: [], script: [], code: 2, shows: /subcommand/ },
  { name: 'rejects an unknown option', args: ['list', '--none'], script: [], code: 2, shows: /none/ },
  { name: 'check accepts a valid document', args: ['check', file], script: [], code: 0, shows: /No findings/, calls: 0 },
  { name: 'check reports the findings of an invalid document', args: ['check', file], script: [], content: { ...document, shiftCap: 2, more: 1 }, code: 1, shows: /shiftCap.*\n?.*|more/, calls: 0 },
  { name: 'check reports a missing file', args: ['check', 'none.json'], script: [], code: 1, shows: /none\.json/ },
  { name: 'get prints the document', args: ['get', 'api'], script: [currentReply], code: 0, shows: /"revision": 4/ },
  { name: 'get of a document of another team is refused', args: ['get', 'api'], script: [{ status: 403, body: { title: 'other_team' } }], code: 1, shows: /403: other_team/ },
  { name: 'list prints the documents', args: ['list'], script: [{ status: 200, body: { documents: [accepted] } }], code: 0, shows: /api +4 +someone/ },
  { name: 'history prints the changes', args: ['history', 'api'], script: [{ status: 200, body: { service: 'api', history: [{ ...accepted, document: undefined, changes: [{ pointer: '/shiftCap', before: 0.1, after: 0.2 }] }] } }], code: 0, shows: /earlier +\/shiftCap/ },
  { name: 'diff prints the differences', args: ['diff', file], script: [currentReply], content: { ...document, shiftCap: 0.2 }, code: 0, shows: /\/shiftCap +0\.1 +0\.2/ },
  { name: 'status prints the instances', args: ['status'], script: [{ status: 200, body: { instance: 'entry-0', instances: [{ instance: 'entry-1' }] } }], code: 0, shows: /entry-1/ },
  { name: 'lookup prints the entry instances', args: ['lookup', 'api', '--client', '192.0.2.7'], script: [{ status: 200, body: entries }], code: 0, shows: /north-a/ },
  { name: 'an unreachable endpoint is refused', args: ['list', '--endpoint', 'http://127.0.0.1:1'], script: [], code: 1, shows: /127\.0\.0\.1:1/ },
  { name: 'apply is accepted', args: ['apply', file], script: [currentReply, acceptedReply], code: 0, shows: /Revision 5/, calls: 2 },
  { name: 'apply on an outdated revision is refused', args: ['apply', file], script: [currentReply, conflictReply], code: 1, shows: /412: revision_conflict/, calls: 2 },
  { name: 'apply prints the findings of the instance', args: ['apply', file], script: [currentReply, { status: 422, body: { findings: [{ pointer: '/shiftCap', message: 'is too much' }] } }], code: 1, shows: /\/shiftCap: is too much/ },
  { name: 'apply refused with 503 is not retried', args: ['apply', file], script: [currentReply, { status: 503, body: { title: 'not-run' } }], code: 1, shows: /503/, calls: 2 },
  { name: 'apply is retried when a response is lost', args: ['apply', file], script: [currentReply, 'cut', acceptedReply], code: 0, shows: /Revision 5/, calls: 3 },
  { name: 'apply reports an unknown outcome after all retries', args: ['apply', file], script: [currentReply, 'cut', { status: 503, body: {} }, { status: 504, body: {} }], code: 3, shows: /--submission-id/, calls: 6 },
  { name: 'apply waits until the revision is in force', args: ['apply', file, '--wait', '20'], script: [currentReply, acceptedReply, behindReply, inForceReply], code: 0, shows: /in force/, calls: 4 },
  { name: 'apply reports instances on which the revision is not in force in time', args: ['apply', file, '--wait', '0'], script: [currentReply, acceptedReply, behindReply], code: 3, shows: /entry-1/ }
]

test('returns the expected exit status and output for each command line', async t => {
  for (const { name, args, script, content = document, code, shows, calls } of cases) {
    const run = await runCommand(args, script, content)
    t.is(run.code, code, `${name}: ${run.stderr}`)
    t.regex(run.stdout + run.stderr, shows, name)
    if (calls !== undefined) t.is(run.requests.length, calls, `${name}: calls`)
    t.true(run.requests.every(call => call.authorization === 'Bearer secret'), name)
    t.false((run.stdout + run.stderr).includes('secret'), name)
  }
})

test('apply retries with the same identifier and base revision', async t => {
  const run = await runCommand(['apply', file, '--json'], [currentReply, 'cut', { status: 504, body: {} }, acceptedReply])
  const puts = run.requests.slice(1)
  t.is(new Set(puts.map(call => call.submission)).size, 1)
  t.deepEqual(puts.map(call => call.condition), ['"4"', '"4"', '"4"'])
  t.is((JSON.parse(run.stdout) as { revision: number }).revision, 5)
})

test('apply uses the revision in the file, or creates a document that does not exist', async t => {
  const edited = await runCommand(['apply', file], [acceptedReply], { ...accepted, revision: 3 })
  t.deepEqual(edited.requests.map(call => call.condition), ['"3"'])
  const created = await runCommand(['apply', file], [{ status: 404, body: {} }, { status: 201, body: accepted }])
  t.deepEqual(created.requests.map(call => call.condition), [undefined, '*'])
})
