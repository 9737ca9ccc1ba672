/**
 * Runs an entry instance from its settings file and command line.
 *
 * @module
 */
import type { EntrySettings, SettingsFinding } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import type { ProcessSignals } from '../process_signals.ts'
import type { EntryOptions } from './entry_options.ts'
import { readFileSync, watchFile } from 'node:fs'
import { decodeSettings, settingsPathVariable } from '@bilberryworks/users-platform'
import { err } from 'neverthrow'
import { createEntryLog } from './entry_log.ts'
import { parseEntryOptions } from './entry_options.ts'
import { runEntry } from './run_entry.ts'

const exitFailure = 1
/** Interval at which the settings file is checked for changes, in milliseconds, since it may change without a SIGHUP. */
const settingsPollIntervalMs = 2_000

function readSettings (path: string): Result<EntrySettings, SettingsFinding[]> {
  try {
    return decodeSettings(readFileSync(path, 'utf8'))
  } catch (error) {
    return err([{ pointer: '', message: `Settings file can't be read: ${(error as Error).message}` }])
  }
}

/** Runs an instance until a signal stops it, unless one has come before. */
async function runUntilStopped (path: string, { settings, options, signals }: { settings: EntrySettings, options: EntryOptions, signals: ProcessSignals }): Promise<void> {
  const log = createEntryLog(settings.instance)
  if (signals.isStopRequested()) return
  process.on('uncaughtExceptionMonitor', (error, origin) => log.warn('uncaught_error', { origin, detail: error.stack }))
  const entry = await runEntry(settings, log, options)
  const reload = (): void => {
    const next = readSettings(path)
    if (next.isErr()) log.warn('settings_kept', { findings: next.error })
    else entry.reload(next.value)
  }
  signals.handlers.reload = reload
  signals.handlers.handleRepeated = signal => log.info('stop_repeated', { signal })
  watchFile(path, { interval: settingsPollIntervalMs, persistent: false }, reload)
  const request = await signals.stopRequested
  try {
    await entry.stop(request)
    process.exit(0)
  } catch (error) {
    log.warn('stop_failed', { detail: (error as Error).message })
    process.exit(exitFailure)
  }
}

/**
 * Runs an instance with the settings file that the environment names and the flags of the command line. Prints the findings and
 * sets the exit code if they are not valid.
 *
 * @param signals Signals of this process
 */
export async function runCommand (signals: ProcessSignals): Promise<void> {
  const path = process.env[settingsPathVariable] ?? ''
  const settings = readSettings(path)
  const options = parseEntryOptions(process.argv.slice(2))
  if (settings.isOk() && options.isOk()) {
    return runUntilStopped(path, { settings: settings.value, options: options.value, signals })
  }
  const findings = [settings, options].flatMap(result => result.isErr() ? result.error : [])
  for (const finding of findings) console.error(`${finding.pointer || '/'}: ${finding.message}`)
  process.exitCode = exitFailure
}
