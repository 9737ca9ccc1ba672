/**
 * The region that each caller's requests go to, moved no faster than the document's cap.
 *
 * @module
 */
import type { Refusal, RegionWeights, WeightWalk } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import type { View } from './view.ts'
import { computeShares, createNotRun, rankByRendezvous, RefusalReason, walkWeights } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'

const retryAfterMs = 1_000

/** Options of {@linkcode createRegionChooser}. */
export interface CreateRegionChooserOptions {
  /** What the instance knows. */
  view: View
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Chooses regions for callers. */
export interface RegionChooser {
  /** Returns the weights that this instance applies now to a service. */
  getWeights (service: string): RegionWeights
  /** Chooses the region of a caller, or refuses. */
  chooseRegion (service: string, callerKey: string): Result<string, Refusal>
}

/**
 * Creates the chooser of an instance.
 *
 * @param options What it decides from
 * @returns The chooser
 */
export function createRegionChooser (options: CreateRegionChooserOptions): RegionChooser {
  const walks = new Map<string, WeightWalk>()

  function getWeights (service: string): RegionWeights {
    const document = options.view.getDocument(service)?.document
    if (document === undefined) return {}
    const desired = options.view.getShift(service)?.weights ?? computeShares(document.regionWeights)
    const limits = { cap: document.shiftCap, stepMs: document.shiftStepMs, nowMs: options.getNowMs() }
    const walk = walkWeights(walks.get(service) ?? { applied: desired, moves: [] }, desired, limits)
    walks.set(service, walk)
    return walk.applied
  }

  return {
    getWeights,
    chooseRegion (service, callerKey) {
      const [region] = rankByRendezvous(callerKey, getWeights(service))
      if (region === undefined) return err(createNotRun(RefusalReason.NoUsableTarget, `Service "${service}" has no region`, retryAfterMs))
      return ok(region)
    }
  }
}
