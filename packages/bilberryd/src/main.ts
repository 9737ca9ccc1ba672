#!/usr/bin/env node
/**
 * The `bilberryd` command, which runs an entry instance or checks its settings.
 *
 * @module
 */
import type Logger from 'bunyan'
import type { RunningInstance } from './run_instance.ts'
import type { Finding, Settings } from './settings.ts'
import { createLogger } from 'bunyan'
import { command, option, positional, run, string, subcommands } from 'cmd-ts'
import { ExitStatus } from './exit_status.ts'
import { createLineOutput } from './line_output.ts'
import { ListenError } from './listen_on.ts'
import { listenForErrors } from './process_errors.ts'
import { listenForSignals } from './process_signals.ts'
import { runInstance } from './run_instance.ts'
import { readSettings } from './settings.ts'
import { waitForSettings } from './wait_for_settings.ts'

/** Time that a stop may take beyond the lifetime of look-up responses and its limit, in milliseconds. */
const stopMarginMs = 5_000
const signals = listenForSignals()
const errors = listenForErrors()

const checkSettings = command({
  name: 'check-settings',
  description: 'Checks a settings file and prints each error found',
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
  args: { settings: option({ type: string, long: 'settings', description: 'Path of the JSON settings file' }) },
  async handler ({ settings: file }) {
    const settings = await waitForSettings(() => readSettings(file), { stopRequested: signals.stopRequested, report: console.error })
    if (signals.isStopRequested()) return
    if (settings.isErr()) printFindings(settings.error)
    else await runUntilStopped(settings.value, file)
  }
})

function printFindings (findings: Finding[]): void {
  for (const finding of findings) console.error(`${finding.pointer || '/'}: ${finding.message}`)
  process.exitCode = ExitStatus.Failed
}

/** Reloads certificates, tokens and peer keys from the settings file; keeps the previous ones when the file or a certificate has an error. */
function refreshSettings (instance: RunningInstance, file: string, log: Logger): void {
  const settings = readSettings(file)
  if (settings.isErr()) {
    log.error({ findings: settings.error }, 'Settings not reloaded: the settings file has errors; the previous settings stay in use')
    return
  }
  try {
    instance.reload(settings.value)
  } catch (error) {
    log.error({ detail: (error as Error).message }, 'Settings not reloaded: a certificate could not be loaded; the previous settings stay in use')
  }
}

/** Ends the process if a listener could not be opened, or a stop was requested before. */
function handleStartError (error: unknown, log: Logger): RunningInstance {
  if (!(error instanceof ListenError)) throw error
  if (errors.hasOccurred()) process.exit(ExitStatus.UncaughtError)
  if (signals.isStopRequested()) process.exit(ExitStatus.Stopped)
  log.error({ detail: error.message, exitStatus: ExitStatus.ListenerUnavailable }, 'Start failed: a listener could not be opened')
  process.exit(ExitStatus.ListenerUnavailable)
}

async function runUntilStopped (settings: Settings, file: string): Promise<void> {
  const lines = createLineOutput(process.stderr, {
    reportDropped: count => log.warn({ lines: count }, 'Log lines dropped: the reader of standard error is slow'),
    reportLost: count => log.warn({ lines: count }, 'Log lines lost: standard error failed'),
    getNowMs: () => performance.now()
  })
  const log = createLogger({ name: 'bilberryd', instance: settings.instance, stream: lines as unknown as NodeJS.WritableStream })
  if (signals.isStopRequested()) return
  errors.handlers.report = error => log.fatal({ ...error }, 'Error that nothing caught: the instance stops')
  const stopRequested = Promise.race([signals.stopRequested, errors.stopRequested])
  // An error may have broken what the stop waits for.
  errors.stopRequested.then(() => setTimeout(() => process.exit(ExitStatus.UncaughtError), settings.lookUpTtlSeconds * 1_000 + settings.stopLimitMs + stopMarginMs)).catch(errors.endProcess)
  const instance = await runInstance(settings, log, { logLines: lines, stopRequested }).catch(error => handleStartError(error, log))
  console.log(JSON.stringify({ ready: true, ...instance.addresses, listening: instance.listening }))
  errors.handlers.report = error => {
    instance.countUncaughtError()
    log.fatal({ ...error }, 'Error that nothing caught: the instance stops')
  }
  signals.handlers.reload = () => refreshSettings(instance, file, log)
  signals.handlers.handleRepeated = signal => log.info({ signal }, 'Stop requested again: the stop goes on as before')
  await stopRequested
  await instance.stop().then(() => process.exit(errors.hasOccurred() ? ExitStatus.UncaughtError : ExitStatus.Stopped), () => process.exit(ExitStatus.Failed))
}

const args = process.argv.slice(2)
if (args[0] === 'check-settings') await run(subcommands({ name: 'bilberryd', cmds: { 'check-settings': checkSettings } }), args)
else await run(runCommand, args).catch(errors.endProcess)
