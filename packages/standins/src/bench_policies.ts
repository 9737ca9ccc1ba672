/**
 * Routing policies by name: the one in production, and the alternatives that it is compared with.
 *
 * @module
 */
import type { OwnerRouterOptions, ReportOptions, ObservedTarget, SimRouter } from './bench_routers.ts'
import type { SimCluster } from './bench_cluster.ts'
import { chooseRoundRobin, Objective, rankOwnersAtRandom, rankOwnersByCaller, rankOwnersByLoad, rankOwnersByTwoChoices, rankOwnersLocalFirst } from '@bilberryworks/steering'
import { createDirectRouter, createOwnerRouter } from './bench_routers.ts'

/** A routing policy. */
export interface Policy {
  /** Name in the tables of results. */
  name: string
  /** Creates the router that implements the policy. */
  create: (cluster: SimCluster, reports?: ReportOptions, options?: Partial<OwnerRouterOptions>) => SimRouter
}

const createReportOption = (reports?: ReportOptions): { reports?: ReportOptions } => reports === undefined ? {} : { reports }

/** Returns the share of its remaining time that a request may wait for a slot, as in production. */
const getWaitShare = (cluster: SimCluster): number => cluster.deployment.objective === Objective.Latency ? 0.1 : 0.5

/** The policy in production: ranks local owners first if the objective is latency, and uses the power of two choices otherwise. */
export const productionPolicy: Policy = {
  name: 'feeders, as chosen',
  create: (cluster, reports) => createOwnerRouter(cluster, {
    rankOwners: cluster.deployment.objective === Objective.Latency ? rankOwnersLocalFirst : rankOwnersByTwoChoices,
    waitShare: getWaitShare(cluster),
    ...createReportOption(reports)
  })
}

/** Policies that differ in how an instance ranks the owners to forward a request to. */
export const ownerPolicies: Policy[] = [
  ['by caller', rankOwnersByCaller] as const,
  ['random', rankOwnersAtRandom] as const,
  ['least loaded', rankOwnersByLoad] as const,
  ['two choices', rankOwnersByTwoChoices] as const,
  ['local first', rankOwnersLocalFirst] as const
].map(([name, rankOwners]) => ({
  name,
  create: (cluster, reports, options) => createOwnerRouter(cluster, { rankOwners, waitShare: getWaitShare(cluster), ...createReportOption(reports), ...options })
}))

/** Divides the slots of each target among the instances of its region, instead of giving each target to one owner. */
export const slotSharePolicy: Policy = {
  name: 'leased shares',
  create: (cluster, reports) => createOwnerRouter(cluster, { rankOwners: rankOwnersByTwoChoices, waitShare: getWaitShare(cluster), usesSlotShares: true, ...createReportOption(reports) })
}

const chooseLowest = (targets: ObservedTarget[], score: (each: ObservedTarget) => number): ObservedTarget | undefined => {
  return targets.reduce<ObservedTarget | undefined>((best, each) => best === undefined || score(each) < score(best) ? each : best, undefined)
}

/** Draws two random targets and chooses the one with the lower load. The load is the larger of the reported number of requests and the number of requests of this instance. */
const chooseTwoChoicesByReport = (targets: ObservedTarget[], cluster: SimCluster): ObservedTarget | undefined => {
  const draw = (): ObservedTarget | undefined => targets[Math.floor(cluster.getRandom() * targets.length)]
  return chooseLowest([draw(), draw()].filter(each => each !== undefined), each => Math.max(each.reportedRequests, each.busy))
}

/** Policies without target ownership: each instance sends requests directly to the targets. */
export const directPolicies: Policy[] = [
  { name: 'reports, two choices', create: (cluster, reports) => createDirectRouter(cluster, { choose: chooseTwoChoicesByReport, ...createReportOption(reports) }) },
  { name: 'random', create: (cluster, reports) => createDirectRouter(cluster, { choose: (targets, { getRandom }) => targets[Math.floor(getRandom() * targets.length)], ...createReportOption(reports) }) },
  {
    name: 'round robin',
    create: (cluster, reports) => {
      let roundRobinIndex = 0
      return createDirectRouter(cluster, { choose: targets => chooseRoundRobin(targets, { roundRobinIndex: roundRobinIndex++, getRandom: cluster.getRandom }), ...createReportOption(reports) })
    }
  },
  {
    name: 'least in flight',
    create: (cluster, reports) => createDirectRouter(cluster, { choose: targets => chooseLowest(targets, each => each.busy + cluster.getRandom() / 2), ...createReportOption(reports) })
  }
]

/** The policy in production and all alternatives except those that only rank owners differently. */
export const allPolicies: Policy[] = [productionPolicy, slotSharePolicy, ...directPolicies]
