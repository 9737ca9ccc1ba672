/**
 * What targets said of themselves, spread between instances so that the latest word wins.
 *
 * A word holds until the target itself says otherwise, or is replaced by one at another address.
 *
 * @module
 */

/** A target's own word on whether it is leaving. */
export interface TargetSelfReport {
  /** Name of the target. */
  target: string
  /** `host:port` at which it said so. */
  address: string
  /** Counts its changes of state; the highest wins. */
  count: number
  /** Whether it is leaving. */
  leaving: boolean
}

/**
 * Records what a target said.
 *
 * @param known The latest word known
 * @param said The target, its address and whether it is leaving
 * @returns The new word, or the known one where it says the same
 */
export function recordTargetSelfReport (known: TargetSelfReport | undefined, said: Omit<TargetSelfReport, 'count'>): TargetSelfReport | undefined {
  const isSameAddress = known?.address === said.address
  if (isSameAddress && known.leaving === said.leaving) return known
  if (!said.leaving && !isSameAddress) return known
  return { ...said, count: (known?.count ?? 0) + 1 }
}

/**
 * Merges two words on one target: the higher count wins, leaving wins between equals.
 *
 * @param known The word known
 * @param seen The word of a peer
 * @returns The one that holds
 */
export function mergeTargetSelfReports (known: TargetSelfReport | undefined, seen: TargetSelfReport): TargetSelfReport {
  if (known === undefined || seen.count > known.count) return seen
  return seen.count === known.count && seen.leaving && !known.leaving ? seen : known
}
