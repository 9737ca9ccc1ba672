/**
 * Runs one seed of the simulation of partial partitions, and finds the shortest schedule that still breaks a rule.
 *
 * @module
 */
import type { ServedShares } from './partition_checks.ts'
import type { FleetRecord } from './fleet_record.ts'
import type { FleetMutant } from './fleet_world.ts'
import type { FleetPlan, FleetTrouble } from './partition_plan.ts'
import { countServed, listBreaches } from './partition_checks.ts'
import { simulatePartitions } from './partition_fleet.ts'
import { createFleetPlan } from './partition_plan.ts'
import { createSeededRandom } from './seeded_random.ts'

/** What to run. */
export interface PartitionRunOptions {
  /** Number of instances. */
  instances: number
  /** Trouble. */
  trouble: FleetTrouble
  /** Seed. */
  seed: number
  /** Fault of the fleet; none by default. */
  mutant?: FleetMutant
  /** Whether look-ups leave out instances that reach no target; true by default. */
  isSteered?: boolean
}

/** Result of one seed. */
export interface PartitionResult {
  /** The seed. */
  seed: number
  /** Rules that were broken. */
  breaches: string[]
  /** Attempts from 1.5 s after the begin of a cut, at instances without a path and at the others. */
  served: ServedShares
  /** Times of served attempts at instances without a path, and at the others meanwhile, in milliseconds. */
  cutTimesMs: number[]
  otherTimesMs: number[]
  /** Times from the begin of a cut to the first group that the instance judged to be out of reach, in milliseconds. */
  detectionTimesMs: number[]
  /** Times for which groups were judged to be out of reach although connections to one of their targets could be established, in milliseconds. */
  falseVerdictTimesMs: number[]
}

/** Time after the begin of a cut from which attempts count, in milliseconds. */
const settledMs = 1_500
/** Time for which connections must have been possible for a verdict to be false, in milliseconds: more than a connection attempt that began before takes. */
const reachableMs = 1_000

/**
 * Creates the plan of a seed.
 *
 * @param options Size, trouble and seed
 * @returns The plan
 */
export function createSeedPlan ({ instances, trouble, seed }: PartitionRunOptions): FleetPlan {
  return createFleetPlan({ instances, trouble, getRandom: createSeededRandom(`plan ${seed}`) })
}

/**
 * Simulates a plan.
 *
 * @param plan The plan
 * @param options Seed and fault, and the attempt to trace; none by default
 * @returns What was recorded
 */
export async function simulatePlan (plan: FleetPlan, { seed, mutant, traceId, isSteered }: Pick<PartitionRunOptions, 'seed' | 'mutant' | 'isSteered'> & { traceId?: string }): Promise<FleetRecord> {
  return simulatePartitions({ plan, getRandom: createSeededRandom(`run ${seed}`), ...mutant === undefined ? {} : { mutant }, ...traceId === undefined ? {} : { traceId }, ...isSteered === undefined ? {} : { isSteered } })
}

/**
 * Runs a seed.
 *
 * @param options Size, trouble and seed
 * @returns What was seen
 */
export async function runPartitionSeed (options: PartitionRunOptions): Promise<PartitionResult> {
  const plan = createSeedPlan(options)
  const record = await simulatePlan(plan, options)
  const [cutTimesMs, otherTimesMs] = [true, false].map(isCut => listTimes(plan, record, isCut))
  return {
    seed: options.seed,
    breaches: listBreaches(plan, record),
    served: countServed(plan, record, settledMs),
    cutTimesMs: cutTimesMs!,
    otherTimesMs: otherTimesMs!,
    detectionTimesMs: listDetectionTimes(plan, record),
    falseVerdictTimesMs: listFalseVerdicts(plan, record)
  }
}

/**
 * Removes from a plan each event without which a rule is broken still.
 *
 * @param plan A plan that breaks a rule
 * @param options Seed and fault
 * @returns The shorter plan
 */
export async function selectShortestPlan (plan: FleetPlan, options: Pick<PartitionRunOptions, 'seed' | 'mutant'>): Promise<FleetPlan> {
  let shortest = plan
  for (const event of plan.events) {
    const shorter = { ...shortest, events: shortest.events.filter(other => other !== event) }
    if (listBreaches(shorter, await simulatePlan(shorter, options)).length > 0) shortest = shorter
  }
  return shortest
}

function listTimes ({ fullCuts }: FleetPlan, { attempts }: FleetRecord, isCut: boolean): number[] {
  return attempts.filter(({ instance, sentAtMs, status }) => {
    const cuts = fullCuts.filter(({ fromMs, toMs }) => sentAtMs >= fromMs + settledMs && sentAtMs < toMs)
    return status === 200 && cuts.length > 0 && cuts.some(cut => cut.instance === instance) === isCut
  }).map(({ sentAtMs, endedAtMs }) => Math.round(endedAtMs - sentAtMs))
}

function listDetectionTimes ({ fullCuts }: FleetPlan, { verdicts, kills }: FleetRecord): number[] {
  return fullCuts.flatMap(({ instance, fromMs, toMs }) => {
    const wasAlone = !fullCuts.some(other => other.instance === instance && other.fromMs < fromMs && other.toMs > fromMs) && !kills.has(instance)
    const verdict = verdicts.find(each => each.instance === instance && each.isLost && each.atMs >= fromMs && each.atMs < toMs)
    const wasLostBefore = verdicts.findLast(each => each.instance === instance && each.atMs < fromMs)?.isLost === true
    return wasAlone && !wasLostBefore ? [Math.round((verdict?.atMs ?? toMs) - fromMs)] : []
  })
}

function listFalseVerdicts ({ durationMs }: FleetPlan, { verdicts }: FleetRecord): number[] {
  return verdicts.filter(({ isLost, reachableForMs }) => isLost && reachableForMs >= reachableMs).map(({ instance, failureDomain, atMs }) => {
    const end = verdicts.find(each => each.instance === instance && each.failureDomain === failureDomain && !each.isLost && each.atMs > atMs)
    return Math.round((end?.atMs ?? durationMs) - atMs)
  })
}
