/**
 * Exit statuses of `bilberryctl`.
 *
 * @module
 */

/** What a command's exit status says. */
export enum ExitStatus {
  /** It was done. */
  Done = 0,
  /** It was refused, or there are findings. */
  Refused = 1,
  /** The command line is wrong. */
  Usage = 2,
  /** It can't be told whether it was done. */
  Unknown = 3
}
