#!/usr/bin/env node
/**
 * The command `bilberryctl`.
 *
 * @module
 */
import { runSafely } from 'cmd-ts'
import { commandLine } from './commands.ts'
import { ExitStatus } from './exit_status.ts'

async function runCommandLine (args: string[]): Promise<ExitStatus> {
  const parsed = await runSafely(commandLine, args)
  if (parsed._tag === 'ok') return parsed.value.value
  const { exitCode, message, into } = parsed.error.config
  if (into === 'stdout') console.log(message)
  else console.error(message)
  return exitCode === 0 && args.length > 0 ? ExitStatus.Done : ExitStatus.Usage
}

try {
  process.exitCode = await runCommandLine(process.argv.slice(2))
} catch (error) {
  console.error((error as Error).message)
  process.exitCode = ExitStatus.Refused
}
