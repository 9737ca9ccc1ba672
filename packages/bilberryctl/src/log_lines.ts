/**
 * Reads the log lines of entry instances.
 *
 * @module
 */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'

/** A line of an instance's log. */
export interface LogLine {
  /** Instance that wrote it. */
  instance: string
  /** Time at which it was written, in milliseconds since the epoch, by the instance's clock. */
  atMs: number
  /** What it tells of. */
  event: string
  /** Its other fields. */
  fields: Record<string, unknown>
}

/** Fields that the logging library adds, and those that a line has by itself. */
const standardFields = new Set(['name', 'instance', 'hostname', 'pid', 'level', 'event', 'msg', 'time', 'v'])

/**
 * Parses one line; what a collector of logs puts before its JSON is passed over.
 *
 * @param text The line
 * @returns The line, or `undefined` where it is none of an instance
 */
export function parseLogLine (text: string): LogLine | undefined {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  let value: Record<string, unknown>
  try {
    value = JSON.parse(text.slice(start)) as Record<string, unknown>
  } catch {
    // Files of logs hold lines of other programs too, and a last one that is cut off.
    return undefined
  }
  const { instance, event, time } = value
  const atMs = typeof time === 'string' ? Date.parse(time) : NaN
  if (typeof instance !== 'string' || typeof event !== 'string' || Number.isNaN(atMs)) return undefined
  return { instance, atMs, event, fields: Object.fromEntries(Object.entries(value).filter(([name]) => !standardFields.has(name))) }
}

/**
 * Reads the lines of files that concern one request or no request at all, in the order of their time.
 *
 * @param files Paths of the files
 * @param id Identifier of the request
 * @returns The lines
 * @throws {Error} where a file can't be read
 */
export async function readLogLines (files: string[], id: string): Promise<LogLine[]> {
  const lines: LogLine[] = []
  for (const file of files) {
    for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
      // Lines of other requests are most of a log; they matter only where a target failed them.
      const line = text.includes('"id":') && !text.includes(id) && !text.includes('"exchange_failed"') ? undefined : parseLogLine(text)
      if (line !== undefined) lines.push(line)
    }
  }
  return lines.sort((a, b) => a.atMs - b.atMs)
}
