/**
 * The structured log of an entry instance: JSON lines on standard output. If the reader of the output is slow, lines are
 * dropped instead of delaying requests.
 *
 * @module
 */
import type Logger from 'bunyan'
import type { Writable } from 'node:stream'
import { createLogger, INFO, WARN } from 'bunyan'

/** Fields of a log line. */
export type LogFields = Record<string, unknown>

/** A structured log. */
export interface EntryLog {
  /** Writes a line at level info. */
  info (event: string, fields: LogFields): void
  /** Returns whether to log a request that succeeded quickly, and counts it toward the limit per second; the metrics count all requests. */
  takeSample (): boolean
  /** Writes a line at level warn. */
  warn (event: string, fields: LogFields): void
  /** Returns the number of dropped lines. */
  countDropped (): number
}

/** Size of the stream's write buffer above which lines are dropped, in bytes. */
const maxPendingBytes = 1_048_576

/** Maximum number of log lines per second about requests that succeeded quickly: enough to cover each route, and fewer than the lines about failures during an incident. */
const sampledLinesPerSecond = 20
const msPerSecond = 1_000

/**
 * Creates a structured log.
 *
 * @param instance Name of the instance
 * @param output Stream for the lines; standard output by default
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
