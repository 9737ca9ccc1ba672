/**
 * Divides the requests of a route among its services by smooth weighted round robin.
 *
 * @module
 */
import type { Route, WeightedService } from './routing.ts'

/** Chooses services for the requests of routes, in proportion to the services' weights. */
export interface WeightedRoundRobin {
  /** Returns the service for the next request of a route. */
  choose (route: Route): string
}

interface ServiceCredit {
  service: WeightedService
  credit: number
}

interface RouteCredits {
  /** Services and weights of the route, to detect when a new configuration changes them. */
  signature: string
  credits: ServiceCredit[]
}

/**
 * Creates a smooth weighted round robin.
 *
 * At any point of the sequence, the requests of each service differ from its weighted share by at most one request per
 * other service.
 *
 * The starting position is random, so that instances that start together do not send their first requests to the same service.
 *
 * @param getRandom Returns a random number in [0, 1)
 * @returns The round robin
 */
export function createWeightedRoundRobin (getRandom: () => number): WeightedRoundRobin {
  const byRoute = new Map<string, RouteCredits>()
  return {
    choose (route) {
      const [first] = route.weightedServices
      if (route.weightedServices.length === 1) return first!.service
      const signature = route.weightedServices.map(each => `${each.service}=${each.weight}`).join(',')
      let entry = byRoute.get(route.name)
      if (entry?.signature !== signature) {
        entry = { signature, credits: createCredits(route.weightedServices, getRandom) }
        byRoute.set(route.name, entry)
      }
      return chooseNext(entry.credits)
    }
  }
}

function createCredits (services: WeightedService[], getRandom: () => number): ServiceCredit[] {
  const credits = services.map(service => ({ service, credit: 0 }))
  const total = services.reduce((sum, service) => sum + service.weight, 0)
  const offset = Math.floor(getRandom() * total / Math.max(1, ...services.map(service => service.weight)))
  for (let skipped = 0; skipped < offset; skipped++) chooseNext(credits)
  return credits
}

function chooseNext (credits: ServiceCredit[]): string {
  let total = 0
  let best = credits[0]!
  for (const entry of credits) {
    entry.credit += entry.service.weight
    total += entry.service.weight
    if (entry.credit > best.credit) best = entry
  }
  best.credit -= total
  return best.service.service
}
