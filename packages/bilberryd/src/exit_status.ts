/**
 * The statuses with which a process of this package ends.
 *
 * @module
 */

/** Exit statuses; those that Node.js uses itself are left out. */
export enum ExitStatus {
  /** The process was told to stop, and has. */
  Stopped = 0,
  /** The settings or the command line are not valid, or the stop failed. */
  Failed = 1,
  /** A listener that serving needs could not be opened. */
  ListenerUnavailable = 69,
  /** The process ended because of an error that nothing caught. */
  UncaughtError = 70
}
