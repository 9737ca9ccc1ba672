/**
 * Reads the log lines of entry instances.
 *
 * @module
 */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'

/** A line of an instance's log. */
export interface LogLine {
  /** Instance that wrote the line. */
  instance: string
  /** Time at which the instance wrote the line, by its own clock, in milliseconds since the epoch. */
  atMs: number
  /** Name of the logged event. */
  event: string
  /** Fields of the event. */
  fields: Record<string, unknown>
}

/** Fields that are present in every line: those that the logging library adds, the instance and the event. */
const standardFields = new Set(['name', 'instance', 'hostname', 'pid', 'level', 'event', 'msg', 'time', 'v'])

/**
 * Parses one line of a log file. Skips any prefix that a log collector added before the JSON.
 *
 * @param text Text of the line
 * @returns The parsed line, or `undefined` if the text is not a log line of an instance
 */
export function parseLogLine (text: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  let value: Record<string, unknown>
  try {
    value = JSON.parse(text.slice(start)) as Record<string, unknown>
  } catch {
    // Log files also contain lines of other programs, and the last line may be truncated.
    return undefined
  }
  const { instance, event, time } = value
  const atMs = typeof time === 'string' ? Date.parse(time) : NaN
  if (typeof instance !== 'string' || typeof event !== 'string' || Number.isNaN(atMs)) return undefined
  return { instance, atMs, event, fields: Object.fromEntries(Object.entries(value).filter(([name]) => !standardFields.has(name))) }
}

/**
 * Reads the log lines that are needed for the timeline of a request: lines of that request, lines that name no request,
 * and failed exchanges of other requests with targets.
 *
 * @param files Paths of the log files
 * @param id Identifier of the request
 * @returns The lines in order of time
 * @throws {Error} If a file can't be read
 */
export async function readLogLines (files: string[], id: string): Promise<LogLine[]> {
  const lines: LogLine[] = []
  for (const file of files) {
    for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
      // Most lines of a log belong to other requests; only their failed exchanges with targets are needed. The others are skipped without parsing their JSON.
      const line = text.includes('"id":') && !text.includes(id) && !text.includes('"exchange_failed"') ? undefined : parseLogLine(text)
      if (line !== undefined) lines.push(line)
    }
  }
  return lines.sort((a, b) => a.atMs - b.atMs)
}
