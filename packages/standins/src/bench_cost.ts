/**
 * Measures the processor time and memory of each routing decision, by the number of targets.
 *
 * @module
 */
import type { OwnerState, RegionLoad, TargetRecord } from '@bilberryworks/steering'
import type { BenchReport } from './bench_part.ts'
import type { ClusterView } from 'bilberryd'
import {
  createSlotScheduler, createWarmUps, emptyRegionPlan, LifecycleState, Objective, planRegions, rankOwnersByTwoChoices, rankOwnersLocalFirst, RequestClass
} from '@bilberryworks/steering'
import { createRegionChooser } from 'bilberryd'
import { createRandom } from './bench_clock.ts'
import { renderTable } from './bench_part.ts'

const baselineTargets = 32
const baselineInstances = 7
const targetFactors = [1, 10, 100]
const decisionsPerRun = 20_000
const runsPerDecision = 5
const seed = 20260612

/** A decision whose cost is measured over many calls. */
interface Decision {
  name: string
  /** Prepares the state for a number of targets and instances, and returns the function that makes the decision once. */
  prepare: (targets: number, instances: number) => () => void
}

function createTargets (count: number): TargetRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    target: `target-${index}`, service: 's', address: '', failureDomain: `d${index % 6}`, region: `r${index % 3}`, slots: 3, maxConnections: 330, state: LifecycleState.Live
  }))
}

function buildSlotDecision (targets: number, options: { instances: number, busy: boolean }): () => void {
  const ownedTargets = createTargets(Math.max(1, Math.round(targets / options.instances)))
  const getRandom = createRandom(seed)
  const scheduler = createSlotScheduler({
    listOwnedTargets: () => ownedTargets, getLimits: () => ({ maxQueued: 256, waitShare: 0.5 }), warmUps: createWarmUps(), getNowMs: () => 0, getRandom
  })
  let count = 0
  const heldReleases: Array<() => void> = []
  const submitRequest = (): void => {
    const item = { requestId: `r${count++}`, callerKey: `c${count % 50}`, requestClass: RequestClass.LookUp, priority: 1, deadlineAtMs: 3_000 }
    scheduler.submit('s', item, granted => { if (granted.isOk()) heldReleases.push(granted.value.release) })
  }
  const initialRequests = options.busy ? ownedTargets.length * 3 + 100 : 0
  for (let index = 0; index < initialRequests; index++) submitRequest()
  return () => {
    submitRequest()
    heldReleases.shift()!()
  }
}

function buildOwnerDecision (instances: number, rank: typeof rankOwnersByTwoChoices): () => void {
  const owners = Array.from({ length: Math.max(2, Math.round(instances / 3)) }, (_, index): OwnerState => ({
    instance: `entry-${index}`, slots: 9, forwardedInFlight: index % 4, reportedLoad: index % 9, reportAgeMs: 50, isLocal: index === 0, isInSameFailureDomain: index < 2
  }))
  const options = { callerKey: '192.0.2.7', getRandom: createRandom(seed) }
  return () => { rank(owners, options) }
}

function buildRegionDecision (targets: number): () => void {
  const records = createTargets(targets)
  const document = { regionWeights: { r0: 1, r1: 1, r2: 1 }, shiftCap: 0.1, shiftStepMs: 10_000, objective: Objective.Headroom }
  const view = {
    getDocument: () => ({ revision: 1, document }), getShift: () => undefined, listTargets: () => records, listInstances: () => ['r0', 'r1', 'r2'].map(region => ({ instance: region, region }))
  }
  let nowMs = 0
  /** Advances by 0.1 ms at each call, so that one request in several hundred finds the weights due for a new plan. */
  const getNowMs = (): number => {
    nowMs += 0.1
    return nowMs
  }
  const regions = createRegionChooser({ view: view as unknown as ClusterView, getNowMs })
  return () => { regions.chooseRegion('s', '192.0.2.7') }
}

function buildPlanDecision (): () => void {
  const regionLoads: Record<string, RegionLoad> = { r0: { capacity: 10, demand: 12 }, r1: { capacity: 20, demand: 12 }, r2: { capacity: 20, demand: 12 } }
  const options = { weights: { r0: 1, r1: 1, r2: 1 }, regionLoads, objective: Objective.Headroom, nowMs: 0 }
  return () => { planRegions(emptyRegionPlan, options) }
}

const decisions: Decision[] = [
  { name: 'slot: arrive, grant, release; free slots', prepare: (targets, instances) => buildSlotDecision(targets, { instances, busy: false }) },
  { name: 'slot: arrive, queue, release, grant; 100 waiting', prepare: (targets, instances) => buildSlotDecision(targets, { instances, busy: true }) },
  { name: 'owner: two choices', prepare: (_, instances) => buildOwnerDecision(instances, rankOwnersByTwoChoices) },
  { name: 'owner: local first', prepare: (_, instances) => buildOwnerDecision(instances, rankOwnersLocalFirst) },
  { name: 'region: choose, plan ten times a second', prepare: buildRegionDecision },
  { name: 'region: plan', prepare: buildPlanDecision }
]

/** Measures a decision in several runs; returns the median of the microseconds and the maximum of the heap bytes per decision. */
function measureDecision (decide: () => void): { microseconds: number, bytes: number } {
  for (let index = 0; index < decisionsPerRun; index++) decide()
  const runs = Array.from({ length: runsPerDecision }, () => {
    globalThis.gc?.()
    const heapBefore = process.memoryUsage().heapUsed
    const startedMs = performance.now()
    for (let index = 0; index < decisionsPerRun; index++) decide()
    const elapsedMs = performance.now() - startedMs
    return { microseconds: elapsedMs * 1000 / decisionsPerRun, bytes: Math.max(0, process.memoryUsage().heapUsed - heapBefore) / decisionsPerRun }
  })
  const median = (values: number[]): number => values.sort((a, b) => a - b)[Math.floor(values.length / 2)]!
  return { microseconds: median(runs.map(run => run.microseconds)), bytes: Math.max(...runs.map(run => run.bytes)) }
}

/**
 * Measures the cost of each decision at several numbers of targets.
 *
 * Bytes are the growth of the heap during a run. A garbage collection within a run hides a part of it, so the report shows the largest run.
 *
 * @returns The report
 */
export function runCostBench (): BenchReport {
  const rows: Array<Array<string | number>> = []
  let highestMicroseconds = 0
  for (const { name, prepare } of decisions) {
    const measurements = targetFactors.map(factor => measureDecision(prepare(baselineTargets * factor, baselineInstances)))
    const [microsecondsAtFewest, , microsecondsAtMost] = measurements.map(each => each.microseconds)
    const nanosecondsPerTarget = (microsecondsAtMost! - microsecondsAtFewest!) / (baselineTargets * (targetFactors[2]! - 1)) * 1000
    highestMicroseconds = Math.max(highestMicroseconds, microsecondsAtMost!)
    rows.push([name, ...measurements.flatMap(each => [each.microseconds.toFixed(2), Math.round(each.bytes)]), nanosecondsPerTarget.toFixed(2)])
  }
  const head = ['decision', ...targetFactors.flatMap(factor => [`µs at ${baselineTargets * factor} targets`, 'bytes']), 'ns for each further target']
  const summary = `No decision takes more than ${highestMicroseconds.toFixed(1)} µs on one thread at ${baselineTargets * 100} targets owned by ${baselineInstances} instances; the cost of slot decisions grows with the number of targets that one instance owns.`
  return { summary, markdown: `Node ${process.version}, one thread; the median of ${runsPerDecision} runs of ${decisionsPerRun} decisions. A slot decision covers the arrival of one request, the grant of a slot and its release. The list of owned targets is precomputed; the daemon builds it up to a hundred times a second, which these figures do not include.\n\n${renderTable(head, rows)}` }
}
