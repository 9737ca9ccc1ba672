/**
 * Runs an entry instance from its settings file and command line.
 *
 * @module
 */
import type { EntrySettings, SettingsFinding } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import type { ProcessErrors } from '../process_errors.ts'
import type { ProcessSignals } from '../process_signals.ts'
import type { EntryLog } from './entry_log.ts'
import type { EntryOptions } from './entry_options.ts'
import type { RunningEntry } from './run_entry.ts'
import { readFileSync, watchFile } from 'node:fs'
import { decodeSettings, settingsPathVariable } from '@bilberryworks/users-platform'
import { err } from 'neverthrow'
import { ExitStatus } from '../exit_status.ts'
import { ListenError } from '../listen_on.ts'
import { waitForSettings } from '../wait_for_settings.ts'
import { createEntryLog } from './entry_log.ts'
import { parseEntryOptions } from './entry_options.ts'
import { runEntry } from './run_entry.ts'

/** Interval at which the settings file is checked for changes, in milliseconds, since it may change without a SIGHUP. */
const settingsPollIntervalMs = 2_000

function readSettings (path: string): Result<EntrySettings, SettingsFinding[]> {
  try {
    return decodeSettings(readFileSync(path, 'utf8'))
  } catch (error) {
    return err([{ pointer: '', message: `Settings file can't be read: ${(error as Error).message}` }])
  }
}

/** Ends the process if a listener could not be opened. */
function handleStartError (error: unknown, log: EntryLog): RunningEntry {
  if (!(error instanceof ListenError)) throw error
  const exitStatus = ExitStatus.ListenerUnavailable
  log.warn('start_failed', { detail: error.message, exitStatus })
  process.exit(exitStatus)
}

/** Runs an instance until a signal or an error that nothing caught stops it, unless one has come before. */
async function runUntilStopped (path: string, { settings, options, signals, errors }: { settings: EntrySettings, options: EntryOptions } & RunCommandOptions): Promise<void> {
  const log = createEntryLog(settings.instance)
  if (signals.isStopRequested()) return
  errors.handlers.report = error => log.warn('uncaught_error', { ...error })
  const stopRequested = Promise.race([signals.stopRequested, errors.stopRequested])
  // An error may have broken what the stop waits for.
  errors.stopRequested.then(() => setTimeout(() => process.exit(ExitStatus.UncaughtError), settings.bounds.graceMs)).catch(errors.endProcess)
  const entry = await runEntry(settings, log, { ...options, stopRequested }).catch(error => handleStartError(error, log))
  const reload = (): void => {
    const next = readSettings(path)
    if (next.isErr()) log.warn('settings_kept', { findings: next.error })
    else entry.reload(next.value)
  }
  errors.handlers.report = error => {
    entry.countUncaughtError()
    log.warn('uncaught_error', { ...error })
  }
  signals.handlers.reload = reload
  signals.handlers.handleRepeated = signal => log.info('stop_repeated', { signal })
  watchFile(path, { interval: settingsPollIntervalMs, persistent: false }, reload)
  const request = await stopRequested
  try {
    await entry.stop(request)
    process.exit(errors.hasOccurred() ? ExitStatus.UncaughtError : ExitStatus.Stopped)
  } catch (error) {
    log.warn('stop_failed', { detail: (error as Error).message })
    process.exit(ExitStatus.Failed)
  }
}

/** Options of {@linkcode runCommand}. */
export interface RunCommandOptions {
  /** Signals of this process. */
  signals: ProcessSignals
  /** Errors of this process that nothing caught. */
  errors: ProcessErrors
}

/**
 * Runs an instance with the settings file that the environment names and the flags of the command line. Settings that are not
 * valid are read again for 10 s; prints the findings and sets the exit code if they are not valid then, or the flags are not.
 *
 * @param options Signals and errors of this process
 */
export async function runCommand ({ signals, errors }: RunCommandOptions): Promise<void> {
  const path = process.env[settingsPathVariable] ?? ''
  const options = parseEntryOptions(process.argv.slice(2))
  const { stopRequested } = signals
  // An empty path and wrong flags stay as they are.
  const settings = path === '' || options.isErr() ? readSettings(path) : await waitForSettings(() => readSettings(path), { stopRequested, report: console.error })
  if (signals.isStopRequested()) return
  if (settings.isOk() && options.isOk()) {
    return runUntilStopped(path, { settings: settings.value, options: options.value, signals, errors })
  }
  const findings = [settings, options].flatMap(result => result.isErr() ? result.error : [])
  for (const finding of findings) console.error(`${finding.pointer || '/'}: ${finding.message}`)
  process.exitCode = ExitStatus.Failed
}
