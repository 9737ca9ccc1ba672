/**
 * Paces attempts at something that a start needs and the host does not give yet.
 *
 * @module
 */

/** Paces the attempts. */
export interface RetryWindow {
  /** Records that an attempt failed, and returns the time until the next one, in milliseconds; `undefined` if there is to be none. */
  planRetry (elapsedMs: number): number | undefined
}

/** Options of {@linkcode createRetryWindow}. */
export interface CreateRetryWindowOptions {
  /** Time from the first attempt to the last one, in milliseconds; `Infinity` for no end. */
  limitMs: number
  /** Returns a random number in [0, 1). */
  getRandom: () => number
}

/** Reasons for which an address can't be listened on for now, by the code of the system error. */
export enum PassingListenFault {
  /** Another process or connection has the address. */
  AddressInUse = 'EADDRINUSE',
  /** No interface has the address. */
  AddressNotAvailable = 'EADDRNOTAVAIL',
  /** The process has no descriptor left. */
  NoProcessDescriptor = 'EMFILE',
  /** The host has no descriptor left. */
  NoHostDescriptor = 'ENFILE',
  /** The host has no buffer left. */
  NoBuffer = 'ENOBUFS',
  /** The host has no memory left. */
  NoMemory = 'ENOMEM'
}

/** Backoff after the first failure, and longest one, in milliseconds; jitter takes off up to a half. */
const initialBackoffMs = 50
const maxBackoffMs = 1_000

/**
 * Creates a window that opens with the first attempt.
 *
 * @param options Length of the window and random source
 * @returns The window
 */
export function createRetryWindow ({ limitMs, getRandom }: CreateRetryWindowOptions): RetryWindow {
  let failures = 0
  return {
    planRetry (elapsedMs) {
      if (elapsedMs >= limitMs) return undefined
      const backoffMs = Math.min(maxBackoffMs, initialBackoffMs * 2 ** failures++) * (0.5 + getRandom() / 2)
      return Math.ceil(Math.min(backoffMs, limitMs - elapsedMs))
    }
  }
}

/**
 * Returns whether listening may succeed later without a change of the settings.
 *
 * @param code Code of the system error
 * @returns Whether the error is one of {@linkcode PassingListenFault}
 */
export function isPassingListenFault (code: string | undefined): boolean {
  return Object.values(PassingListenFault).some(fault => fault === code)
}
