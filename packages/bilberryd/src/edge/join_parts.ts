/**
 * Joins the small parts of a body that arrive together, so that each does not become a chunk and a write of its own.
 *
 * @module
 */
import { createBodyParts } from './body_parts.ts'

/** Joins parts. */
export interface PartJoiner {
  /** Passes a part on, in this turn of the event loop. */
  add (part: Buffer): void
  /** Passes on at once what has not been passed on yet. */
  drain (): void
}

/** Size from which a part is passed on as it is, in bytes. */
const minPassedBytes = 4_096
/** Number of joined bytes from which they are passed on. */
const maxJoinedBytes = 16_384

/**
 * Creates a joiner of parts.
 *
 * @param pass Receives the joined parts
 * @returns The joiner
 */
export function createPartJoiner (pass: (part: Buffer) => void): PartJoiner {
  let parts = createBodyParts()
  let bytes = 0
  let isScheduled = false

  function drainParts (): void {
    if (bytes === 0) return
    const joined = parts.list()
    parts = createBodyParts()
    bytes = 0
    pass(joined.length === 1 ? joined[0]! : Buffer.concat(joined))
  }

  return {
    drain: drainParts,
    add (part) {
      if (part.length >= minPassedBytes) {
        drainParts()
        return pass(part)
      }
      parts.add(part)
      bytes += part.length
      if (bytes >= maxJoinedBytes) return drainParts()
      if (isScheduled) return
      isScheduled = true
      // The check phase follows the poll phase, which reads.
      setImmediate(() => {
        isScheduled = false
        drainParts()
      })
    }
  }
}
