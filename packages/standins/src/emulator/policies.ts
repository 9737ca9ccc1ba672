/**
 * Ways to place requests, the product's and those that it is compared with.
 *
 * @module
 */
import type { SelectTargetOptions, RoutedRequest, RegisteredTarget } from '@bilberryworks/steering'
import { selectTarget, computeTargetLoad, waitShare } from '@bilberryworks/steering'

/** A way to place requests. */
export interface TargetSelectionPolicy {
  /** Name in the tables. */
  name: string
  /** Chooses a target; `undefined` lets the request wait. */
  choose: (request: RoutedRequest, options: SelectTargetOptions, getRandom: () => number) => RegisteredTarget | undefined
  /** Share of its time that a request may wait for room. */
  waitShare: number
}

/** Requests by which the other target must be less loaded. */
const secondTargetPenalty = 0.5

const listUntriedTargets = (request: RoutedRequest, { ranked }: SelectTargetOptions): RegisteredTarget[] => ranked.filter(entry => !request.tried.has(entry.target.id))
const hasFreeSlot = (entry: RegisteredTarget, nowMs: number): boolean => computeTargetLoad(entry, nowMs) < entry.target.slots

/** The product's: an object's own two targets, or waiting. */
export const productPolicy: TargetSelectionPolicy = { name: 'own two targets', choose: selectTarget, waitShare }

/** The product's placement without refusal: a request waits as long as its caller does. */
export const noRefusalPolicy: TargetSelectionPolicy = { name: 'own two targets, never refused', choose: selectTarget, waitShare: 1 }

/** The less loaded of an object's own two targets, as far as is known. */
export const lessLoadedOfTwoPolicy: TargetSelectionPolicy = {
  name: 'lesser of own two',
  choose (request, options) {
    const [firstTarget, secondTarget] = listUntriedTargets(request, options)
    if (firstTarget === undefined) return undefined
    const firstLoad = computeTargetLoad(firstTarget, options.nowMs)
    const secondLoad = secondTarget === undefined ? Infinity : computeTargetLoad(secondTarget, options.nowMs)
    const lessLoaded = secondTarget !== undefined && secondLoad + secondTargetPenalty < firstLoad ? secondTarget : firstTarget
    return computeTargetLoad(lessLoaded, options.nowMs) < lessLoaded.target.slots + 1 ? lessLoaded : undefined
  },
  waitShare
}

/** An object's first target, or the next in its order that has room, however cold. */
export const unboundedSpilloverPolicy: TargetSelectionPolicy = {
  name: 'affinity, spilled freely',
  choose: (request, options) => listUntriedTargets(request, options).find(entry => hasFreeSlot(entry, options.nowMs)),
  waitShare
}

/** An object's first target, however full. */
export const unboundedAffinityPolicy: TargetSelectionPolicy = {
  name: 'affinity without bound',
  choose: (request, options) => listUntriedTargets(request, options)[0],
  waitShare
}

/** Any target. */
export const randomPolicy: TargetSelectionPolicy = {
  name: 'random',
  choose (request, options, getRandom) {
    const targets = listUntriedTargets(request, options)
    return targets[Math.floor(getRandom() * targets.length)]
  },
  waitShare
}

/** The target with the least load that is known. */
export const leastLoadedPolicy: TargetSelectionPolicy = {
  name: 'least loaded',
  choose (request, options, getRandom) {
    let best: RegisteredTarget | undefined
    let bestLoad = Infinity
    for (const entry of listUntriedTargets(request, options)) {
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
export const targetSelectionPolicies: TargetSelectionPolicy[] = [productPolicy, noRefusalPolicy, lessLoadedOfTwoPolicy, unboundedSpilloverPolicy, unboundedAffinityPolicy, leastLoadedPolicy, randomPolicy]
