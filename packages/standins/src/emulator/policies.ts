/**
 * Ways to place requests, the product's and those that it is compared with.
 *
 * @module
 */
import type { SelectTargetOptions, RoutedRequest, RegisteredTarget } from '@bilberryworks/steering'
import { selectTarget, computeTargetLoad, waitShare } from '@bilberryworks/steering'

/** A way to place requests. */
export interface PlacementPolicy {
  /** Name in the tables. */
  name: string
  /** Chooses a target; `undefined` lets the request wait. */
  choose: (request: RoutedRequest, options: SelectTargetOptions, getRandom: () => number) => RegisteredTarget | undefined
  /** Share of its time that a request may wait for room. */
  waitShare: number
}

/** Requests by which the other target must be less loaded. */
const otherHandicap = 0.5

const listUntried = (request: RoutedRequest, { ranked }: SelectTargetOptions): RegisteredTarget[] => ranked.filter(entry => !request.tried.has(entry.target.id))
const hasRoom = (entry: RegisteredTarget, nowMs: number): boolean => computeTargetLoad(entry, nowMs) < entry.target.slots

/** The product's: an object's own two targets, or waiting. */
export const productPolicy: PlacementPolicy = { name: 'own two targets', choose: selectTarget, waitShare }

/** The product's placement without refusal: a request waits as long as its caller does. */
export const patientPolicy: PlacementPolicy = { name: 'own two targets, never refused', choose: selectTarget, waitShare: 1 }

/** The less loaded of an object's own two targets, as far as is known. */
export const lesserPolicy: PlacementPolicy = {
  name: 'lesser of own two',
  choose (request, options) {
    const [first, other] = listUntried(request, options)
    if (first === undefined) return undefined
    const firstLoad = computeTargetLoad(first, options.nowMs)
    const otherLoad = other === undefined ? Infinity : computeTargetLoad(other, options.nowMs)
    const lesser = other !== undefined && otherLoad + otherHandicap < firstLoad ? other : first
    return computeTargetLoad(lesser, options.nowMs) < lesser.target.slots + 1 ? lesser : undefined
  },
  waitShare
}

/** An object's first target, or the next in its order that has room, however cold. */
export const spillPolicy: PlacementPolicy = {
  name: 'affinity, spilled freely',
  choose: (request, options) => listUntried(request, options).find(entry => hasRoom(entry, options.nowMs)),
  waitShare
}

/** An object's first target, however full. */
export const unboundedPolicy: PlacementPolicy = {
  name: 'affinity without bound',
  choose: (request, options) => listUntried(request, options)[0],
  waitShare
}

/** Any target. */
export const randomPolicy: PlacementPolicy = {
  name: 'random',
  choose (request, options, getRandom) {
    const targets = listUntried(request, options)
    return targets[Math.floor(getRandom() * targets.length)]
  },
  waitShare
}

/** The target with the least load that is known. */
export const leastLoadedPolicy: PlacementPolicy = {
  name: 'least loaded',
  choose (request, options, getRandom) {
    let best: RegisteredTarget | undefined
    let bestLoad = Infinity
    for (const entry of listUntried(request, options)) {
      const load = computeTargetLoad(entry, options.nowMs) + getRandom() / 2
      if (load >= bestLoad) continue
      best = entry
      bestLoad = load
    }
    return best
  },
  waitShare
}

/** All, the product's first. */
export const placementPolicies: PlacementPolicy[] = [productPolicy, patientPolicy, lesserPolicy, spillPolicy, unboundedPolicy, leastLoadedPolicy, randomPolicy]
