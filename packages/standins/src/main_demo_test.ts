import type { ExecutionContext } from 'ava'
import test from 'ava'
import { spawn } from 'node:child_process'
import { text } from 'node:stream/consumers'
import { fileURLToPath } from 'node:url'
import { setTimeout } from 'node:timers/promises'

const root = fileURLToPath(new URL('../../..', import.meta.url))
const pollMs = 100
const maxPolls = 200

const npm = ['npm', 'start', '--']
const node = [process.execPath, 'scripts/start_demo.mjs']

interface DemoOptions {
  command: string[]
  args: string[]
  /** Signal to send to the process group whenever a chunk of standard output or standard error matches `on`. */
  interrupt?: { signal: NodeJS.Signals, on: RegExp }
}

async function runDemo (options: DemoOptions): Promise<{ code: number | null, stdout: string, hasLeftovers: boolean }> {
  const child = spawn(options.command[0]!, [...options.command.slice(1), ...options.args], { cwd: root, detached: true, stdio: ['ignore', 'pipe', 'pipe'] })
  const { interrupt } = options
  const watch = (chunk: Buffer): void => {
    if (interrupt?.on.test(chunk.toString()) === true) process.kill(-child.pid!, interrupt.signal)
  }
  child.stdout.on('data', watch)
  child.stderr.on('data', watch)
  const [stdout, code] = await Promise.all([text(child.stdout), new Promise<number | null>(resolve => child.once('exit', resolve))])
  return { code, stdout, hasLeftovers: await hasLeftoverProcess(child.pid!) }
}

/** Waits up to 20 s for all processes of a group to exit; if any is left, kills the group and returns `true`. */
async function hasLeftoverProcess (group: number): Promise<boolean> {
  for (let poll = 0; poll < maxPolls; poll++) {
    try {
      process.kill(-group, 0)
    } catch {
      return false
    }
    await setTimeout(pollMs)
  }
  process.kill(-group, 'SIGKILL')
  return true
}

function checkReport (t: ExecutionContext, stdout: string, requests: number): void {
  const report = JSON.parse(stdout.trimEnd().split('\n').at(-1) ?? '') as Record<string, number>
  t.like(report, { requests, ranTwice: 0, brokenAnswers: 0, newWorkAfterDrain: 0 })
  t.is(report['answered']! + report['notRun']! + report['unknown']!, requests)
}

for (const deployment of ['kutiyka', 'trwsio']) {
  test(`prints a report for ${deployment} and leaves no process behind`, async t => {
    const { code, stdout, hasLeftovers } = await runDemo({ command: npm, args: ['--json', '--requests', '60', '--deployment', deployment] })
    t.is(code, 0)
    checkReport(t, stdout, 60)
    t.false(hasLeftovers)
  })
}

// npm is terminated by the signal itself, so that its process has no exit code.
const interrupts: Array<{ name: string, options: DemoOptions, code: number | null }> = [
  { name: 'SIGINT while it runs without requests', options: { command: node, args: [], interrupt: { signal: 'SIGINT', on: /Interrupt \(Ctrl-C\)/ } }, code: 0 },
  { name: 'SIGTERM while it sends requests', options: { command: node, args: ['--json', '--requests', '400'], interrupt: { signal: 'SIGTERM', on: /100\/400/ } }, code: 143 },
  { name: 'SIGINT under npm while it sends requests', options: { command: npm, args: ['--requests', '400'], interrupt: { signal: 'SIGINT', on: /100\/400/ } }, code: null },
  { name: 'SIGTERM under npm while it starts', options: { command: npm, args: ['--requests', '40'], interrupt: { signal: 'SIGTERM', on: /start_demo/ } }, code: null }
]

for (const { name, options, code } of interrupts) {
  test(`leaves no process behind after ${name}`, async t => {
    const result = await runDemo(options)
    t.false(result.hasLeftovers)
    t.is(result.code, code)
  })
}
