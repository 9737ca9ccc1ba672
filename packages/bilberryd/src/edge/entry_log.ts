/**
 * Structured log of an entry instance: JSON lines on standard output, bounded and never waited for.
 *
 * @module
 */
import type Logger from 'bunyan'
import type { Writable } from 'node:stream'
import { createLogger, INFO, WARN } from 'bunyan'

/** Fields of a log line; `docs/operations/platform.md` lists them. */
export type LogFields = Record<string, unknown>

/** The log. */
export interface EntryLog {
  /** Writes a line on what an instance does or believes. */
  info (event: string, fields: LogFields): void
  /** Tells whether what went well at once is to be written: the first of each second are, the others are told by the counters alone. */
  takeSample (): boolean
  /** Writes a line on what is lost or wrong. */
  warn (event: string, fields: LogFields): void
  /** Counts the lines that were dropped. */
  countDropped (): number
}

/** Bytes that may wait for the reader of the log before lines are dropped. */
const maxPendingBytes = 1_048_576

/** Lines a second on what went well at once: enough to see each route, and less than what goes wrong on a bad day. */
const sampledLinesPerSecond = 20
const msPerSecond = 1_000

/**
 * Creates the log.
 *
 * @param instance Name of the instance
 * @param output Where lines are written; standard output by default
 * @returns The log
 */
export function createEntryLog (instance: string, output: Writable = process.stdout): EntryLog {
  let dropped = 0
  let reportedDropped = 0
  const logger: Logger = createLogger({ name: 'bilberryd', instance, stream: output })
  const write = (level: number, event: string, fields: LogFields): void => {
    if (output.writableLength > maxPendingBytes) {
      dropped++
      return
    }
    if (dropped > reportedDropped) {
      logger.warn({ event: 'log_dropped', lines: dropped - reportedDropped })
      reportedDropped = dropped
    }
    if (level === INFO) logger.info({ event, ...fields })
    else logger.warn({ event, ...fields })
  }
  let sampledSecond = 0
  let sampled = 0
  return {
    takeSample () {
      const second = Math.floor(performance.now() / msPerSecond)
      if (second !== sampledSecond) sampled = 0
      sampledSecond = second
      return ++sampled <= sampledLinesPerSecond
    },
    info: (event, fields) => write(INFO, event, fields),
    warn: (event, fields) => write(WARN, event, fields),
    countDropped: () => dropped
  }
}
