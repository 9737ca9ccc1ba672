/**
 * Limits how often an instance tries something again at an address that has failed, so that a failure which is reported at
 * once costs no more than one that is reported late.
 *
 * @module
 */

/** Limits attempts. */
export interface AttemptPacer {
  /** Counts an attempt at an address if it may be made now; returns whether it may. `nowMs` is monotonic time. */
  take (key: string, nowMs: number): boolean
}

/** Options of {@linkcode createAttemptPacer}. */
export interface CreateAttemptPacerOptions {
  /** Attempts at each address in a second, and at most at once; 3 by default. */
  perSecond?: number
  /** Attempts at all addresses in a second, and at most at once; 256 by default. */
  totalPerSecond?: number
}

interface Bucket { tokens: number, atMs: number }

const msPerSecond = 1_000
/** Number of addresses above which those without recent attempts are dropped. */
const maxBuckets = 1_024

/**
 * Creates a pacer without attempts.
 *
 * @param options Limits
 * @returns The pacer
 */
export function createAttemptPacer ({ perSecond = 3, totalPerSecond = 256 }: CreateAttemptPacerOptions = {}): AttemptPacer {
  const buckets = new Map<string, Bucket>()
  const total: Bucket = { tokens: totalPerSecond, atMs: -Infinity }

  function refill (bucket: Bucket, limit: number, nowMs: number): Bucket {
    bucket.tokens = Math.min(limit, bucket.tokens + Math.max(0, nowMs - bucket.atMs) / msPerSecond * limit)
    bucket.atMs = nowMs
    return bucket
  }

  function removeFull (nowMs: number): void {
    for (const [key, bucket] of buckets) if (refill(bucket, perSecond, nowMs).tokens >= perSecond) buckets.delete(key)
  }

  return {
    take (key, nowMs) {
      if (buckets.size > maxBuckets) removeFull(nowMs)
      const bucket = refill(buckets.get(key) ?? { tokens: perSecond, atMs: nowMs }, perSecond, nowMs)
      if (bucket.tokens < 1 || refill(total, totalPerSecond, nowMs).tokens < 1) return false
      bucket.tokens--
      total.tokens--
      buckets.set(key, bucket)
      return true
    }
  }
}
