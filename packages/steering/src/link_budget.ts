/**
 * The bytes that one instance may send from its region to another one.
 *
 * @module
 */

/** What the bytes are for; each purpose leaves a part of the budget to the ones before it. */
export enum LinkPurpose {
  /** The protocol between instances. */
  Control = 'control',
  /** Requests and answers that are not uploads. */
  Request = 'request',
  /** Uploads, which can wait. */
  Upload = 'upload'
}

/** The budget of one instance for one pair of regions and direction. */
export interface LinkBudget {
  /** Most bytes that may be taken at once. */
  readonly maxPieceBytes: number
  /** Bytes a second that the instance may send in the long run. */
  readonly bytesPerSecond: number
  /** Takes bytes; returns 0, or the milliseconds to wait until a later try, where nothing was taken. */
  take (bytes: number, purpose: LinkPurpose, nowMs: number): number
}

/** Options of {@linkcode createLinkBudget}. */
export interface CreateLinkBudgetOptions {
  /** Capacity of the link in this direction, in bits a second. */
  linkBitsPerSecond: number
  /** The largest number of instances that may send over it at the same time. */
  senders: number
}

const bitsPerByte = 8
/** Part of the share that may be sent in one burst; the rest of it is the rate. */
const burstShare = 0.1
/** Part of the burst that a purpose leaves to those before it. */
const keptShares: Record<LinkPurpose, number> = { [LinkPurpose.Control]: 0, [LinkPurpose.Request]: 0.2, [LinkPurpose.Upload]: 0.5 }
const pieceShare = 0.25

/**
 * Creates a full budget.
 *
 * Rate and burst add up to the instance's share, so no window of one second holds more than the share.
 *
 * @param options The link and who shares it
 * @returns The budget
 */
export function createLinkBudget (options: CreateLinkBudgetOptions): LinkBudget {
  const shareBytes = options.linkBitsPerSecond / bitsPerByte / Math.max(1, options.senders)
  const burstBytes = shareBytes * burstShare
  const bytesPerSecond = shareBytes - burstBytes
  const maxPieceBytes = Math.max(1, Math.floor(burstBytes * pieceShare))
  let tokens = burstBytes
  let updatedAtMs = -Infinity
  return {
    maxPieceBytes,
    bytesPerSecond,
    take (bytes, purpose, nowMs) {
      const elapsedMs = Math.max(0, nowMs - updatedAtMs)
      tokens = Math.min(burstBytes, tokens + elapsedMs / 1000 * bytesPerSecond)
      updatedAtMs = Math.max(updatedAtMs, nowMs)
      const missing = bytes + burstBytes * keptShares[purpose] - tokens
      if (missing > 0) return missing / bytesPerSecond * 1000
      tokens -= bytes
      return 0
    }
  }
}
