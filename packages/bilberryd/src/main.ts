#!/usr/bin/env node
/**
 * The command `bilberryd`.
 *
 * @module
 */
import type { Finding, Settings } from './settings.ts'
import { createLogger } from 'bunyan'
import { command, option, positional, run, string, subcommands } from 'cmd-ts'
import { runInstance } from './run_instance.ts'
import { readSettings } from './settings.ts'

const exitFindings = 1

const checkSettings = command({
  name: 'check-settings',
  description: 'Prints every finding in a settings file',
  args: { file: positional({ type: string, displayName: 'FILE' }) },
  handler ({ file }) {
    const settings = readSettings(file)
    if (settings.isErr()) printFindings(settings.error)
    else console.log('Settings are valid')
  }
})

const runCommand = command({
  name: 'bilberryd',
  description: 'Runs an entry instance',
  args: { settings: option({ type: string, long: 'settings', description: 'Settings file, JSON' }) },
  async handler ({ settings: file }) {
    const settings = readSettings(file)
    if (settings.isErr()) printFindings(settings.error)
    else await runUntilStopped(settings.value)
  }
})

function printFindings (findings: Finding[]): void {
  for (const finding of findings) console.error(`${finding.pointer || '/'}: ${finding.message}`)
  process.exitCode = exitFindings
}

async function runUntilStopped (settings: Settings): Promise<void> {
  const log = createLogger({ name: 'bilberryd', instance: settings.instance, stream: process.stderr })
  const instance = await runInstance(settings, log)
  console.log(JSON.stringify({ ready: true, ...instance.addresses, listening: instance.listening }))
  const stop = (): void => {
    process.once('SIGTERM', () => process.exit(exitFindings))
    process.once('SIGINT', () => process.exit(exitFindings))
    instance.stop().then(() => process.exit(0)).catch(() => process.exit(exitFindings))
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

const args = process.argv.slice(2)
if (args[0] === 'check-settings') await run(subcommands({ name: 'bilberryd', cmds: { 'check-settings': checkSettings } }), args)
else await run(runCommand, args)
