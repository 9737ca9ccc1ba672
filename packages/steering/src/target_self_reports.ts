/**
 * Self-reports of targets on whether they are leaving, gossiped between instances so that the latest one wins.
 *
 * A self-report holds until the target at its address reports otherwise, or until a target of the same name at another
 * address reports that it is leaving.
 *
 * @module
 */

/** A target's own report on whether it is leaving. */
export interface TargetSelfReport {
  /** Name of the target. */
  target: string
  /** `host:port` of the target that reported. */
  address: string
  /** Counts the target's changes of state; the highest count wins. */
  count: number
  /** Whether the target is leaving. */
  leaving: boolean
}

/**
 * Records a self-report of a target.
 *
 * @param known The latest self-report known
 * @param reported The target, its address and whether it is leaving
 * @returns The new self-report, or `known` (possibly `undefined`) if nothing changed, or if a target that is not at the known address reports that it is not leaving
 */
export function recordTargetSelfReport (known: TargetSelfReport | undefined, reported: Omit<TargetSelfReport, 'count'>): TargetSelfReport | undefined {
  const isSameAddress = known?.address === reported.address
  if (isSameAddress && known.leaving === reported.leaving) return known
  if (!reported.leaving && !isSameAddress) return known
  return { ...reported, count: (known?.count ?? 0) + 1 }
}

/**
 * Merges two self-reports of one target: the higher count wins; with equal counts, leaving wins.
 *
 * @param known The self-report known to this instance
 * @param seen The self-report received from a peer
 * @returns The winning self-report
 */
export function mergeTargetSelfReports (known: TargetSelfReport | undefined, seen: TargetSelfReport): TargetSelfReport {
  if (known === undefined || seen.count > known.count) return seen
  return seen.count === known.count && seen.leaving && !known.leaving ? seen : known
}
