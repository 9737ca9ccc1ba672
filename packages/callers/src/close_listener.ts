/**
 * Closes a listener without resetting the connections that wait to be accepted.
 *
 * @module
 */
import type { Server } from 'node:http'
import { runAfterReads } from './run_after_reads.ts'

/** Longest time for which connections are accepted once the listener is to be closed, in milliseconds, should callers connect without a pause. */
const maxAcceptMs = 500

/**
 * Accepts the connections that wait, and closes a listener.
 *
 * The kernel resets connections that are established and not accepted yet, with the requests that callers have sent on them,
 * and Node.js may accept as little as one in each turn of the event loop.
 *
 * @param server The listener
 * @returns Resolves when the listener is closed; its connections stay open, and what they have received may be unread
 */
export async function closeListener (server: Server): Promise<void> {
  let acceptedCount = 0
  const countConnection = (): void => { acceptedCount++ }
  const untilMs = performance.now() + maxAcceptMs
  server.on('connection', countConnection)
  do {
    acceptedCount = 0
    await new Promise<void>(runAfterReads)
  } while (acceptedCount > 0 && performance.now() < untilMs)
  server.off('connection', countConnection)
  server.close()
}
