/**
 * Divides the requests of a route among its services by their weights, evenly at any moment.
 *
 * @module
 */
import type { Route, WeightedService } from './routing.ts'

/** Divides the requests of routes. */
export interface WeightedRoundRobin {
  /** Returns the service for the next request of a route. */
  choose (route: Route): string
}

interface Turn {
  share: WeightedService
  credit: number
}

interface Turns {
  /** Distinguishes shares that a new configuration changed. */
  signature: string
  turns: Turn[]
}

/**
 * Creates a sequence by smooth weighted round robin: each service lags its weight by less than one request.
 *
 * The first turns are offset, so that instances which begin together do not send the same way at once.
 *
 * @param getRandom Returns a random number in [0, 1)
 * @returns The sequence
 */
export function createWeightedRoundRobin (getRandom: () => number): WeightedRoundRobin {
  const byRoute = new Map<string, Turns>()
  return {
    choose (route) {
      const [first] = route.weightedServices
      if (route.weightedServices.length === 1) return first!.service
      const signature = route.weightedServices.map(share => `${share.service}=${share.weight}`).join(',')
      let entry = byRoute.get(route.name)
      if (entry?.signature !== signature) {
        entry = { signature, turns: startTurns(route.weightedServices, getRandom) }
        byRoute.set(route.name, entry)
      }
      return takeTurn(entry.turns)
    }
  }
}

function startTurns (shares: WeightedService[], getRandom: () => number): Turn[] {
  const turns = shares.map(share => ({ share, credit: 0 }))
  const total = shares.reduce((sum, share) => sum + share.weight, 0)
  const offset = Math.floor(getRandom() * total / Math.max(1, ...shares.map(share => share.weight)))
  for (let skipped = 0; skipped < offset; skipped++) takeTurn(turns)
  return turns
}

function takeTurn (turns: Turn[]): string {
  let total = 0
  let best = turns[0]!
  for (const turn of turns) {
    turn.credit += turn.share.weight
    total += turn.share.weight
    if (turn.credit > best.credit) best = turn
  }
  best.credit -= total
  return best.share.service
}
