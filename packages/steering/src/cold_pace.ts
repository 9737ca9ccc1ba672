/**
 * The pace of requests to a cold target, held in the sum over all instances without messages between them.
 *
 * @module
 */
import { computeHash } from './rendezvous.ts'

/** What a cold target bears from all instances together. */
export interface ColdPace {
  /** Requests a second that it bears for long. */
  perSecond: number
  /** Most requests in any one second. */
  mostInSecond: number
}

/** Share of the most requests in a second that is planned for: instances may differ for a moment in whom they take for live. */
const plannedShare = 0.5
/** Time between two requests of one instance to one cold target, in milliseconds: the length of the second that the pace is counted in, and transit. */
export const coldGapMs = 1_200

/**
 * Tells whether an instance is among those that may send to a target while it is cold.
 *
 * Rendezvous hashing of the instances names the same few everywhere; each sends at most once in {@linkcode coldGapMs}.
 *
 * @param instance Name of the instance
 * @param instances Names of the live instances, this one among them or not
 * @param options The target and the pace that it bears
 * @returns Whether it may send
 */
export function isColdSender (instance: string, instances: Iterable<string>, options: { targetId: string, pace: ColdPace }): boolean {
  const { targetId, pace } = options
  const senders = Math.max(1, Math.floor(Math.min(pace.perSecond, pace.mostInSecond * plannedShare)))
  const own = computeHash(`${instance}\u0000${targetId}`)
  let better = 0
  for (const other of instances) {
    if (other !== instance && computeHash(`${other}\u0000${targetId}`) > own) better++
    if (better >= senders) return false
  }
  return true
}
