/**
 * Token bucket for the bytes that one instance sends from its region to another region.
 *
 * @module
 */

/** Purpose of the bytes, in descending priority; a purpose leaves part of the burst to those of higher priority. */
export enum LinkPurpose {
  /** Protocol messages between instances. */
  Control = 'control',
  /** Requests and responses other than uploads. */
  Request = 'request',
  /** Uploads, which can be delayed. */
  Upload = 'upload'
}

/** Byte budget of one instance for one pair of regions and one direction. */
export interface LinkBudget {
  /** Maximum number of bytes to take in one call. */
  readonly maxChunkBytes: number
  /** Sustained rate, in bytes per second. */
  readonly bytesPerSecond: number
  /** Takes bytes and returns 0; if they are not available, takes nothing and returns the milliseconds to wait before trying again. */
  take (bytes: number, purpose: LinkPurpose, nowMs: number): number
}

/** Options of {@linkcode createLinkBudget}. */
export interface CreateLinkBudgetOptions {
  /** Capacity of the link in this direction, in bits per second. */
  linkBitsPerSecond: number
  /** Maximum number of instances that send over the link at the same time. */
  senders: number
}

const bitsPerByte = 8
/** Fraction of the instance's share of the link that may be sent in one burst; the rest of the share is the refill rate. */
const burstShare = 0.1
/** Fraction of the burst that a purpose leaves to those of higher priority. */
const reservedBurstShares: Record<LinkPurpose, number> = { [LinkPurpose.Control]: 0, [LinkPurpose.Request]: 0.2, [LinkPurpose.Upload]: 0.5 }
/** Maximum chunk size as a fraction of the burst. */
const chunkShare = 0.25

/**
 * Creates a budget with the full burst available.
 *
 * Rate and burst add up to the instance's share of the link, so the instance sends at most its share in any one second.
 *
 * @param options Capacity of the link and number of senders
 * @returns The budget
 */
export function createLinkBudget (options: CreateLinkBudgetOptions): LinkBudget {
  const shareBytes = options.linkBitsPerSecond / bitsPerByte / Math.max(1, options.senders)
  const burstBytes = shareBytes * burstShare
  const bytesPerSecond = shareBytes - burstBytes
  const maxChunkBytes = Math.max(1, Math.floor(burstBytes * chunkShare))
  let tokens = burstBytes
  let updatedAtMs = -Infinity
  return {
    maxChunkBytes,
    bytesPerSecond,
    take (bytes, purpose, nowMs) {
      const elapsedMs = Math.max(0, nowMs - updatedAtMs)
      tokens = Math.min(burstBytes, tokens + elapsedMs / 1000 * bytesPerSecond)
      updatedAtMs = Math.max(updatedAtMs, nowMs)
      const missingBytes = bytes + burstBytes * reservedBurstShares[purpose] - tokens
      if (missingBytes > 0) return missingBytes / bytesPerSecond * 1000
      tokens -= bytes
      return 0
    }
  }
}
