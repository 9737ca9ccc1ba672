/**
 * Runs functions after what connections have received already has been read.
 *
 * @module
 */

/**
 * Calls a function when the event loop has read what sockets have received already.
 *
 * The poll phase, which reads, precedes the check phase of each turn, so that a whole poll phase lies between two callbacks
 * of the check phase.
 *
 * @param run The function
 */
export function runAfterReads (run: () => void): void {
  setImmediate(() => setImmediate(run))
}
