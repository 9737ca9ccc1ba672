/**
 * Options of an entry instance that its command line sets, since the settings file has the format of the users' platform.
 *
 * @module
 */
import type { SettingsFinding } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'

/** Whether and how much instances relay requests for each other. */
export interface RelaySettings {
  /** Whether requests go through other instances while this one has no path to their targets; on by default. */
  isEnabled: boolean
  /** Maximum number of requests that other instances relay to this one, waiting or in flight; 256 by default. */
  maxRelayed: number
}

/** Options of the command line. */
export interface EntryOptions {
  /** Port of the metrics listener, which is not opened by default. */
  metricsPort?: number
  /** Relays. */
  relays: RelaySettings
}

/** Options of a command line without flags. */
export const defaultEntryOptions: EntryOptions = { relays: { isEnabled: true, maxRelayed: 256 } }

const flagPattern = /^--([a-z-]+)=(.*)$/
const maxPort = 65_535
/** Largest accepted `maxRelayed`: each request may hold a buffered body of 256 KiB. */
const maxMaxRelayed = 4_096

/**
 * Parses the flags `--metrics-port=PORT`, `--relay=on|off` and `--max-relayed=COUNT`.
 *
 * @param flags Arguments of the command
 * @returns The options, or every finding, with the flag in place of a JSON pointer
 */
export function parseEntryOptions (flags: readonly string[]): Result<EntryOptions, SettingsFinding[]> {
  const options: EntryOptions = { relays: { ...defaultEntryOptions.relays } }
  const findings: SettingsFinding[] = []
  for (const flag of flags) {
    const [, name = '', value = ''] = flagPattern.exec(flag) ?? []
    const message = applyFlag(options, name, value)
    if (message !== undefined) findings.push({ pointer: flag, message })
  }
  return findings.length > 0 ? err(findings) : ok(options)
}

/** Sets the option of a flag; returns what is wrong with it, if anything. */
function applyFlag (options: EntryOptions, name: string, value: string): string | undefined {
  switch (name) {
    case 'metrics-port':
      options.metricsPort = Number(value)
      return isCount(value, maxPort) ? undefined : `Expected a port from 1 to ${maxPort}, found "${value}"`
    case 'relay':
      options.relays.isEnabled = value === 'on'
      return value === 'on' || value === 'off' ? undefined : `Expected "on" or "off", found "${value}"`
    case 'max-relayed':
      options.relays.maxRelayed = Number(value)
      return isCount(value, maxMaxRelayed) ? undefined : `Expected a number from 1 to ${maxMaxRelayed}, found "${value}"`
    default:
      return 'Expected --metrics-port=PORT, --relay=on|off or --max-relayed=COUNT'
  }
}

function isCount (text: string, max: number): boolean {
  return /^\d{1,6}$/.test(text) && Number(text) >= 1 && Number(text) <= max
}
