/**
 * Runs seeds of the simulation of cold targets.
 *
 * @module
 */
import type { FleetMutant } from './fleet_world.ts'
import type { ColdTrouble } from './cold_plan.ts'
import { createColdPlan } from './cold_plan.ts'
import { computeColdAllowance, listBreaches, listColdPeaks } from './partition_checks.ts'
import { simulatePartitions } from './partition_fleet.ts'
import { createSeededRandom } from './seeded_random.ts'

/** What to run. */
export interface ColdRunOptions {
  /** Number of instances. */
  instances: number
  /** How targets become cold. */
  trouble: ColdTrouble
  /** Seed. */
  seed: number
  /** Fault of the fleet; none by default. */
  mutant?: FleetMutant
}

/** Result of one seed. */
export interface ColdResult {
  /** Rules that were broken. */
  breaches: string[]
  /** For each cold target, the requests in its busiest second as a share of what is allowed. */
  shares: number[]
  /** Share of the attempts that were served. */
  servedShare: number
}

/**
 * Runs a seed.
 *
 * @param options Size, trouble and seed
 * @returns What was seen
 */
export async function runColdSeed ({ instances, trouble, seed, mutant }: ColdRunOptions): Promise<ColdResult> {
  const plan = createColdPlan({ instances, trouble, getRandom: createSeededRandom(`cold plan ${seed}`) })
  const record = await simulatePartitions({ plan, getRandom: createSeededRandom(`cold run ${seed}`), ...mutant === undefined ? {} : { mutant } })
  return {
    breaches: listBreaches(plan, record),
    shares: listColdPeaks(record).map(({ count }) => count / computeColdAllowance(plan.cold!)),
    servedShare: record.attempts.filter(({ status }) => status === 200).length / record.attempts.length
  }
}
