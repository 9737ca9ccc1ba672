/**
 * Shares the event loop among the senders of bytes that are costly to read, such as bodies in tiny chunks.
 *
 * @module
 */

/** What one sender, such as a connection, has been charged. */
export interface ReadAccount {
  /** Units that may still be read at once. */
  units: number
  /** Monotonic time of the last charge, in milliseconds. */
  chargedAtMs: number
}

/** Options of {@linkcode createReadPacer}. */
export interface CreateReadPacerOptions {
  /** Units that a sender may cause at once, before it waits for others. */
  burstUnits: number
  /** Units that each sender may cause for each second beside the shared ones. */
  ownUnitsPerSecond: number
  /** Units beyond that, for each second and all senders together. */
  sharedUnitsPerSecond: number
}

/** Shares the event loop among senders. */
export interface ReadPacer {
  /** Creates the account of a sender. */
  createAccount (nowMs: number): ReadAccount
  /** Charges a sender for what was read; returns for how long nothing more is to be read from it, in milliseconds: 0 if it may go on. */
  charge (account: ReadAccount, units: number, nowMs: number): number
}

const msPerSecond = 1_000

/**
 * Creates a pacer.
 *
 * A unit is the work that one part of a message causes, however short it is. A sender that causes more than its own units takes
 * its turn behind others that do: each waits until the shared units that it has used, and those that were used before, have
 * been refilled. A sender that waits causes nothing, so that those who do get equal numbers of turns.
 *
 * @param options Units of each sender and of all together
 * @returns The pacer
 */
export function createReadPacer ({ burstUnits, ownUnitsPerSecond, sharedUnitsPerSecond }: CreateReadPacerOptions): ReadPacer {
  /** Monotonic time at which all shared units that were used will have been refilled, in milliseconds. */
  let refilledAtMs = -Infinity

  return {
    createAccount: nowMs => ({ units: burstUnits, chargedAtMs: nowMs }),
    charge (account, units, nowMs) {
      const refilled = Math.max(0, nowMs - account.chargedAtMs) * ownUnitsPerSecond / msPerSecond
      const left = Math.min(burstUnits, account.units + refilled) - units
      account.units = Math.max(0, left)
      account.chargedAtMs = nowMs
      if (left >= 0) return 0
      refilledAtMs = Math.max(refilledAtMs, nowMs) - left * msPerSecond / sharedUnitsPerSecond
      return refilledAtMs - nowMs
    }
  }
}
