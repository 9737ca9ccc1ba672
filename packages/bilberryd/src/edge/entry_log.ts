/**
 * The structured log of an entry instance: JSON lines on standard output. If the reader of the output is slow or gone, lines are
 * dropped instead of delaying requests.
 *
 * @module
 */
import type Logger from 'bunyan'
import type { Writable } from 'node:stream'
import { createLogger } from 'bunyan'
import { createLineOutput } from '../line_output.ts'

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
  /** Returns the number of lines that were dropped because the reader of the output is slow. */
  countDropped (): number
  /** Returns the number of lines that were lost because the output failed. */
  countLost (): number
}

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
  const lines = createLineOutput(output, {
    reportDropped: count => logger.warn({ event: 'log_dropped', lines: count }),
    reportLost: count => logger.warn({ event: 'log_lost', lines: count }),
    getNowMs: () => performance.now()
  })
  const logger: Logger = createLogger({ name: 'bilberryd', instance, stream: lines as unknown as NodeJS.WritableStream })
  let sampledSecond = 0
  let sampled = 0
  return {
    takeSample () {
      const second = Math.floor(performance.now() / msPerSecond)
      if (second !== sampledSecond) sampled = 0
      sampledSecond = second
      return ++sampled <= sampledLinesPerSecond
    },
    info: (event, fields) => logger.info({ event, ...fields }),
    warn: (event, fields) => logger.warn({ event, ...fields }),
    countDropped: lines.countDropped,
    countLost: lines.countLost
  }
}
