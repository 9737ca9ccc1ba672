/**
 * The policies by name, those in use and those that they are compared with.
 *
 * @module
 */
import type { OwnerRouterOptions, ReportOptions, SeenTarget, SimRouter } from './bench_routers.ts'
import type { SimWorld } from './bench_world.ts'
import { chooseRoundRobin, Objective, rankOwnersAtRandom, rankOwnersByCaller, rankOwnersByLoad, rankOwnersByTwoChoices, rankOwnersLocalFirst } from '@bilberryworks/steering'
import { createDirectRouter, createOwnerRouter } from './bench_routers.ts'

/** A policy. */
export interface Policy {
  /** Name in the tables. */
  name: string
  /** Creates its router. */
  create: (world: SimWorld, reports?: ReportOptions, options?: Partial<OwnerRouterOptions>) => SimRouter
}

const passReports = (reports?: ReportOptions): { reports?: ReportOptions } => reports === undefined ? {} : { reports }

/** Returns the share of its time that a request may wait, as the product has it. */
const getWaitShare = (world: SimWorld): number => world.deployment.objective === Objective.Latency ? 0.1 : 0.5

/** The policy in use. */
export const productPolicy: Policy = {
  name: 'feeders, as chosen',
  create: (world, reports) => createOwnerRouter(world, {
    rankFeeders: world.deployment.objective === Objective.Latency ? rankOwnersLocalFirst : rankOwnersByTwoChoices,
    waitShare: getWaitShare(world),
    ...passReports(reports)
  })
}

/** Ways to choose the feeder. */
export const ownerPolicies: Policy[] = [
  ['by caller', rankOwnersByCaller] as const,
  ['random', rankOwnersAtRandom] as const,
  ['least loaded', rankOwnersByLoad] as const,
  ['two choices', rankOwnersByTwoChoices] as const,
  ['local first', rankOwnersLocalFirst] as const
].map(([name, rankFeeders]) => ({
  name,
  create: (world, reports, options) => createOwnerRouter(world, { rankFeeders, waitShare: getWaitShare(world), ...passReports(reports), ...options })
}))

/** Shares of each target's slots in place of whole targets. */
export const leasedPolicy: Policy = {
  name: 'leased shares',
  create: (world, reports) => createOwnerRouter(world, { rankFeeders: rankOwnersByTwoChoices, waitShare: getWaitShare(world), leasedShares: true, ...passReports(reports) })
}

const chooseLowest = (targets: SeenTarget[], score: (each: SeenTarget) => number): SeenTarget | undefined => {
  return targets.reduce<SeenTarget | undefined>((best, each) => best === undefined || score(each) < score(best) ? each : best, undefined)
}

/** Draws two targets and takes the one with the lower report and own requests. */
const chooseTwoByReport = (targets: SeenTarget[], world: SimWorld): SeenTarget | undefined => {
  const draw = (): SeenTarget | undefined => targets[Math.floor(world.getRandom() * targets.length)]
  return chooseLowest([draw(), draw()].filter(each => each !== undefined), each => Math.max(each.reported, each.busy))
}

/** Ways without feeders. */
export const directPolicies: Policy[] = [
  { name: 'reports, two choices', create: (world, reports) => createDirectRouter(world, { choose: chooseTwoByReport, ...passReports(reports) }) },
  { name: 'random', create: (world, reports) => createDirectRouter(world, { choose: (targets, { getRandom }) => targets[Math.floor(getRandom() * targets.length)], ...passReports(reports) }) },
  {
    name: 'round robin',
    create: (world, reports) => {
      let turn = 0
      return createDirectRouter(world, { choose: targets => chooseRoundRobin(targets, { roundRobinIndex: turn++, getRandom: world.getRandom }), ...passReports(reports) })
    }
  },
  {
    name: 'least in flight',
    create: (world, reports) => createDirectRouter(world, { choose: targets => chooseLowest(targets, each => each.busy + world.getRandom() / 2), ...passReports(reports) })
  }
]

/** The policy in use and all that it is compared with. */
export const allPolicies: Policy[] = [productPolicy, leasedPolicy, ...directPolicies]
