/**
 * Shares the event loop among connections to targets that send responses in very short lines, such as tiny chunks.
 *
 * @module
 */
import type { ReadPacer } from '@bilberryworks/steering'
import { createReadPacer } from '@bilberryworks/steering'

/** Bytes for each line from which on lines are not what makes a read costly; a chunk has two lines beside its bytes. */
const bytesPerFreeLine = 64
/** Lines that a connection may send at once, about the tiny chunks that fill one read. */
const burstLines = 20_000
/** Lines that each connection may send for each second, beside the shared ones: the header fields of some hundred short responses. */
const ownLinesPerSecond = 10_000
/** Lines beyond that, for each second and all connections together: about a tenth of the time of a processor core. */
const sharedLinesPerSecond = 300_000

/**
 * Creates a pacer for connections to targets; its unit is a line beyond one for each 64 bytes that were received.
 *
 * @returns The pacer
 */
export function createResponsePacer (): ReadPacer {
  return createReadPacer({ burstUnits: burstLines, ownUnitsPerSecond: ownLinesPerSecond, sharedUnitsPerSecond: sharedLinesPerSecond })
}

/**
 * Computes the units of one read.
 *
 * @param lines Lines that were parsed
 * @param bytes Bytes that were received
 * @returns The units; 0 if the lines, with the chunks between them, are no shorter than usual
 */
export function computeReadUnits (lines: number, bytes: number): number {
  return Math.max(0, Math.ceil(lines - bytes / bytesPerFreeLine))
}
