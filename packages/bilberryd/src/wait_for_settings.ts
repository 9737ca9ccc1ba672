/**
 * Reads the settings at a start, whose file may be missing or incomplete for a short time.
 *
 * @module
 */
import type { SettingsFinding } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { createRetryWindow } from '@bilberryworks/steering'
import { setTimeout as wait } from 'node:timers/promises'

/** Options of {@linkcode waitForSettings}. */
export interface WaitForSettingsOptions {
  /** Ends the wait when it resolves. */
  stopRequested: Promise<unknown>
  /** Writes a line, once for each cause. */
  report: (line: string) => void
}

/** Time for which the settings are read again, in milliseconds. */
const limitMs = 10_000
const msPerSecond = 1_000

/**
 * Reads settings until they are valid.
 *
 * @param read Reads the settings
 * @param options Request to stop, and output
 * @returns The settings, or the findings of the last attempt, 10 s after the first one or when a stop was requested
 */
export async function waitForSettings<Settings> (read: () => Result<Settings, SettingsFinding[]>, { stopRequested, report }: WaitForSettingsOptions): Promise<Result<Settings, SettingsFinding[]>> {
  const stop = new AbortController()
  stopRequested.then(() => stop.abort(), () => {})
  const startedAtMs = performance.now()
  const retries = createRetryWindow({ limitMs, getRandom: Math.random })
  const reported = new Set<string>()
  for (;;) {
    const settings = read()
    if (settings.isOk()) return settings
    const delayMs = retries.planRetry(performance.now() - startedAtMs)
    if (delayMs === undefined || stop.signal.aborted) return settings
    const [{ pointer, message } = { pointer: '', message: '' }] = settings.error
    // What follows the colon may differ with each part of the file that is written.
    const cause = `${pointer}${message.split(':', 1)[0]}`
    if (!reported.has(cause)) report(`Settings are read again for up to ${limitMs / msPerSecond} s, findings: ${settings.error.length}, the first at ${pointer || '/'}: ${message}`)
    reported.add(cause)
    await wait(delayMs, undefined, { signal: stop.signal }).catch(() => {})
  }
}
