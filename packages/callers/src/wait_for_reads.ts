/**
 * Waits for what connections have received already.
 *
 * @module
 */

/**
 * Waits until the event loop has read what sockets have received already.
 *
 * The poll phase, which reads, precedes the check phase of each turn, so that a whole poll phase lies between two callbacks
 * of the check phase.
 *
 * @returns Resolves in the check phase of the next turn; never rejects
 */
export function waitForReads (): Promise<void> {
  return new Promise(resolve => {
    setImmediate(() => setImmediate(resolve))
  })
}
