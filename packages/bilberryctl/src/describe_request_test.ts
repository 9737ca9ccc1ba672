import type { LogLine } from './log_lines.ts'
import test from 'ava'
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { describeRequest, StepKind } from './describe_request.ts'
import { parseLogLine, readLogLines } from './log_lines.ts'

function createLine (atMs: number, instance: string, event: string, fields: Record<string, unknown> = {}): LogLine {
  return { atMs, instance, event, fields }
}

function describe (id: string, lines: LogLine[]): string[] {
  return describeRequest(id, lines).map(step => `${step.atMs} ${step.instance} ${step.kind}: ${step.text}`)
}

test('describes a target that failed other requests before the refusal of a request', t => {
  const lines = [
    createLine(0, 'entry-0', 'config_in_force', { version: 4 }),
    createLine(1_000, 'entry-0', 'target', { target: 't1', leaving: false }),
    createLine(20_000, 'entry-1', 'exchange_failed', { id: 'other', target: 't1', signal: 'connect_failed' }),
    createLine(20_100, 'entry-0', 'exchange_failed', { id: 'mine', target: 't1', signal: 'connect_failed' }),
    createLine(20_110, 'entry-0', 'retry', { id: 'mine', reason: 'connect_failed', budgetLeft: 3 }),
    createLine(20_400, 'entry-0', 'request_ended', { id: 'mine', outcome: 'not-run', reason: 'overloaded', sends: [{ target: 't1' }], elapsedMs: 455 }),
    createLine(21_000, 'entry-0', 'target_gone', { target: 't1' })
  ]
  t.deepEqual(describe('mine', lines), [
    '0 entry-0 belief: configuration 4 came in force',
    '1000 entry-0 belief: target target=t1 leaving=false',
    '20000 entry-1 elsewhere: target t1 began to fail other requests: 1 at 1 instances within 10 s (connect_failed)',
    '20100 entry-0 decision: exchange_failed target=t1 signal=connect_failed',
    '20110 entry-0 decision: retry reason=connect_failed budgetLeft=3',
    '20400 entry-0 decision: request_ended outcome=not-run reason=overloaded sends=[{"target":"t1"}] elapsedMs=455',
    '21000 entry-0 belief: target_gone target=t1'
  ])
})

test('describes the targets that ended under repeats of a request that is refused', t => {
  const lines = [
    createLine(0, 'entry-0', 'config_in_force', { version: 4 }),
    createLine(1_000, 'entry-1', 'target_ended', { target: 't1', requests: { first: 'f', innocent: 'g' } }),
    createLine(2_000, 'entry-0', 'target_ended', { target: 't2', requests: { other: 'g' } }),
    createLine(3_000, 'entry-0', 'request_quarantined', { fingerprint: 'f', crashes: 3, peer: 'entry-1' }),
    createLine(50_000, 'entry-0', 'request_ended', { id: 'mine', outcome: 'not-run', reason: 'crashes_targets', fingerprint: 'f', elapsedMs: 1 })
  ]
  t.deepEqual(describe('mine', lines), [
    '0 entry-0 belief: configuration 4 came in force',
    '1000 entry-1 elsewhere: target t1 ended under the same request',
    '3000 entry-0 belief: request_quarantined fingerprint=f crashes=3 peer=entry-1',
    '50000 entry-0 decision: request_ended outcome=not-run reason=crashes_targets fingerprint=f elapsedMs=1'
  ])
})

test('describes a request handled under an outdated configuration', t => {
  const lines = [
    createLine(0, 'entry-0', 'config_in_force', { version: 4 }),
    createLine(100, 'entry-0', 'store_lost', { contactAgeMs: 900 }),
    createLine(30_000, 'entry-1', 'config_in_force', { version: 7 }),
    createLine(30_500, 'entry-0', 'request_refused', { id: 'mine', reason: 'unknown_service', config: 4 }),
    createLine(30_800, 'entry-0', 'table_from_peer', { table: 'op', version: 7 }),
    createLine(30_801, 'entry-0', 'config_in_force', { version: 7, before: 4 })
  ]
  t.deepEqual(describe('mine', lines), [
    '0 entry-0 belief: configuration 4 came in force',
    '100 entry-0 belief: store_lost contactAgeMs=900',
    '30000 entry-1 elsewhere: configuration 7 came in force here, 500 ms before the end of the request',
    '30500 entry-0 decision: request_refused reason=unknown_service config=4',
    '30800 entry-0 belief: table_from_peer table=op version=7',
    '30801 entry-0 belief: configuration 7 came in force, after the request'
  ])
})

test('orders the steps of a request that two instances handled', t => {
  const lines = [
    createLine(10, 'entry-0', 'request_ended', { id: 'mine', outcome: 'unknown', reason: 'target_lost', elapsedMs: 5 }),
    createLine(900, 'entry-1', 'request_ended', { id: 'mine', outcome: 'answered', elapsedMs: 40 })
  ]
  const steps = describeRequest('mine', lines)
  t.deepEqual(steps.filter(step => step.kind === StepKind.Decision).map(step => step.instance), ['entry-0', 'entry-1'])
  t.deepEqual(steps.filter(step => step.kind === StepKind.Belief).map(step => step.text), ['no configuration was in force', 'no configuration was in force'])
})

test('describes a request that went through another instance, and since when the first one had no path', t => {
  const lines = [
    createLine(0, 'entry-0', 'config_in_force', { version: 4 }),
    createLine(0, 'entry-1', 'config_in_force', { version: 4 }),
    createLine(1_000, 'entry-0', 'targets_unreached', { service: 's', failureDomain: 'a' }),
    createLine(1_001, 'entry-0', 'targets_unreached', { service: 's', failureDomain: 'b' }),
    createLine(2_000, 'entry-0', 'targets_reached', { service: 's', failureDomain: 'b' }),
    createLine(40_000, 'entry-1', 'request_ended', { id: 'mine', relayedBy: 'entry-0', outcome: 'unknown', reason: 'target_lost', elapsedMs: 90 }),
    createLine(40_003, 'entry-0', 'relay_failed', { id: 'mine', peer: 'entry-1', result: 'refused', reason: 'target_lost' }),
    createLine(40_003, 'entry-0', 'request_ended', { id: 'mine', outcome: 'unknown', reason: 'target_lost', sends: [{ peer: 'entry-1', afterMs: 0, inFlight: 1 }], elapsedMs: 95 })
  ]
  t.deepEqual(describe('mine', lines), [
    '0 entry-1 belief: configuration 4 came in force',
    '0 entry-0 belief: configuration 4 came in force',
    '1000 entry-0 belief: targets_unreached service=s failureDomain=a',
    '40000 entry-1 decision: request_ended relayedBy=entry-0 outcome=unknown reason=target_lost elapsedMs=90',
    '40003 entry-0 decision: relay_failed peer=entry-1 result=refused reason=target_lost',
    '40003 entry-0 decision: request_ended outcome=unknown reason=target_lost sends=[{"peer":"entry-1","afterMs":0,"inFlight":1}] elapsedMs=95'
  ])
})

test('returns no steps for an unknown request', t => {
  t.deepEqual(describeRequest('absent', [createLine(0, 'entry-0', 'started')]), [])
})

test('parses log lines with the prefix of a log collector and skips other text', t => {
  const json = '{"name":"bilberryd","instance":"entry-0","hostname":"h","pid":1,"level":30,"event":"stopped","open":2,"msg":"","time":"2026-01-01T00:00:00.500Z","v":0}'
  const expected = { instance: 'entry-0', atMs: Date.UTC(2026, 0, 1) + 500, event: 'stopped', fields: { open: 2 } }
  t.deepEqual([parseLogLine(json), parseLogLine(`  12.5 h ${json}`)], [expected, expected])
  for (const text of ['', 'Segmentation fault', json.slice(0, 60), '{"event":"stopped"}', '{"instance":"a","event":"b","time":"c"}']) t.is(parseLogLine(text), undefined, text)
})

test('explain reads several files and fails for an unknown request', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'bilberryctl-'))
  const [one, two] = ['entry-0', 'entry-1'].map((instance, index) => {
    const file = join(folder, instance)
    const formatLine = (event: string, fields: object): string => JSON.stringify({ instance, event, time: new Date(1_000 - 100 * index).toISOString(), ...fields })
    writeFileSync(file, [formatLine('request_ended', { id: 'other', elapsedMs: 1 }), formatLine('request_ended', { id: 'mine', elapsedMs: 1, outcome: 'answered' }), 'noise'].join('\n'))
    return file
  }) as [string, string]
  t.deepEqual((await readLogLines([one, two], 'mine')).map(read => read.instance), ['entry-1', 'entry-0'])
  const main = fileURLToPath(new URL('main.js', import.meta.url))
  const run = (id: string): string => execFileSync(process.execPath, [main, 'explain', id, one, two], { encoding: 'utf8', stdio: 'pipe' })
  t.regex(run('mine'), /entry-1 +decision +request_ended elapsedMs=1 outcome=answered\n.*entry-0 +decision/s)
  t.throws(() => run('absent'), { message: /No line names the request "absent"/ })
  rmSync(folder, { recursive: true })
})
