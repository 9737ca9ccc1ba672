/**
 * Policies that select the target of a request: the one in production, and the alternatives that it is compared with.
 *
 * @module
 */
import type { SelectTargetOptions, RoutedRequest, RegisteredTarget } from '@bilberryworks/steering'
import { selectTarget, computeTargetLoad, waitShare } from '@bilberryworks/steering'

/** A policy that selects the target of a request. */
export interface TargetSelectionPolicy {
  /** Name in the tables of results. */
  name: string
  /** Selects a target; `undefined` leaves the request in the queue of the instance. */
  choose: (request: RoutedRequest, options: SelectTargetOptions, getRandom: () => number) => RegisteredTarget | undefined
  /** Whether the object's targets are chosen in the region of its callers as far as that has room, instead of in all regions alike. */
  prefersOwnRegion: boolean
  /** Whether targets that respond far more slowly than others are avoided; `false` by default. */
  avoidsSlowTargets?: boolean
  /** Whether an object's requests are spread over its two targets while the first is busy, if both have handled it; `false` by default. */
  balancesTargets?: boolean
  /** Share of the time until its deadline that a request may wait in the queue of the instance before it is refused. */
  waitShare: number
}

/** Number of requests by which the load of the second target must be below that of the first for the second to be selected. */
const secondTargetPenalty = 0.5

const listUntriedTargets = (request: RoutedRequest, { ranked }: SelectTargetOptions): RegisteredTarget[] => ranked.filter(candidate => !request.tried.has(candidate.target.id))
const hasFreeSlot = (candidate: RegisteredTarget, nowMs: number): boolean => computeTargetLoad(candidate, nowMs) < candidate.target.slots

/** The policy in production: selects one of the object's two preferred targets, or lets the request wait. */
export const productionPolicy: TargetSelectionPolicy = { name: 'own two targets', choose: selectTarget, prefersOwnRegion: true, avoidsSlowTargets: true, balancesTargets: true, waitShare }

/** Selects targets like {@linkcode productionPolicy}, but regardless of their speed. */
export const speedBlindPolicy: TargetSelectionPolicy = { name: 'own two targets, slow or not', choose: selectTarget, prefersOwnRegion: true, balancesTargets: true, waitShare }

/** Selects targets like {@linkcode productionPolicy}, but the first of an object's targets is filled before the second, however busy it is. */
export const fillingPolicy: TargetSelectionPolicy = { name: 'own two targets, first filled', choose: selectTarget, prefersOwnRegion: true, avoidsSlowTargets: true, waitShare }

/** Selects targets like {@linkcode productionPolicy}, but an object's two targets are chosen in all regions alike. */
export const allRegionsPolicy: TargetSelectionPolicy = { name: 'own two targets, in all regions', choose: selectTarget, prefersOwnRegion: false, waitShare }

/** Selects targets like {@linkcode productionPolicy}, but lets a request wait until its deadline instead of refusing it earlier. */
export const noRefusalPolicy: TargetSelectionPolicy = { name: 'own two targets, never refused', choose: selectTarget, prefersOwnRegion: true, waitShare: 1 }

/** Selects the less loaded of the object's two preferred targets, by the last known load. The request waits if the load of that target exceeds its number of slots by one request or more. */
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
  prefersOwnRegion: false,
  waitShare
}

/** Selects the first target in the object's order of preference that has a free slot, even if the target has not cached the object; the request waits if no target has one. */
export const unboundedSpilloverPolicy: TargetSelectionPolicy = {
  name: 'affinity, spilled freely',
  choose: (request, options) => listUntriedTargets(request, options).find(candidate => hasFreeSlot(candidate, options.nowMs)),
  prefersOwnRegion: false,
  waitShare
}

/** Selects the first target in the object's order of preference that has not been tried, regardless of its load. */
export const unboundedAffinityPolicy: TargetSelectionPolicy = {
  name: 'affinity without bound',
  choose: (request, options) => listUntriedTargets(request, options)[0],
  prefersOwnRegion: false,
  waitShare
}

/** Selects a target at random. */
export const randomPolicy: TargetSelectionPolicy = {
  name: 'random',
  choose (request, options, getRandom) {
    const targets = listUntriedTargets(request, options)
    return targets[Math.floor(getRandom() * targets.length)]
  },
  prefersOwnRegion: false,
  waitShare
}

/** Selects the target with the lowest last known load, regardless of the object. */
export const leastLoadedPolicy: TargetSelectionPolicy = {
  name: 'least loaded',
  choose (request, options, getRandom) {
    let best: RegisteredTarget | undefined
    let bestLoad = Infinity
    for (const candidate of listUntriedTargets(request, options)) {
      const load = computeTargetLoad(candidate, options.nowMs) + getRandom() / 2
      if (load >= bestLoad) continue
      best = candidate
      bestLoad = load
    }
    return best
  },
  prefersOwnRegion: false,
  waitShare
}

/** All policies, the one in production first. */
export const targetSelectionPolicies: TargetSelectionPolicy[] = [productionPolicy, speedBlindPolicy, fillingPolicy, allRegionsPolicy, noRefusalPolicy, lessLoadedOfTwoPolicy, unboundedSpilloverPolicy, unboundedAffinityPolicy, leastLoadedPolicy, randomPolicy]
