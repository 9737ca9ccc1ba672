/**
 * Exit statuses of `bilberryctl`.
 *
 * @module
 */

/** Exit status of a command. */
export enum ExitStatus {
  /** The command succeeded. */
  Done = 0,
  /** The command was refused or failed, or the document is invalid. */
  Refused = 1,
  /** The command line is invalid. */
  Usage = 2,
  /** The outcome is unknown: the command may have taken effect. */
  Unknown = 3
}
