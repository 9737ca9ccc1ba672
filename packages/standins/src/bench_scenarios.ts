/**
 * Simulates each routing policy in each scenario, at the sizes of both deployments.
 *
 * @module
 */
import type { BenchPlot, BenchReport } from './bench_part.ts'
import type { Policy } from './bench_policies.ts'
import type { ReportOptions } from './bench_routers.ts'
import type { Measurements, Scenario } from './bench_simulate.ts'
import type { SimCluster } from './bench_cluster.ts'
import type { Deployment } from './deployments.ts'
import { renderTable } from './bench_part.ts'
import { renderLinePlot } from './bench_plot.ts'
import { allPolicies, productionPolicy } from './bench_policies.ts'
import { createOwnerRouter } from './bench_routers.ts'
import { simulate, simulateOmniscient } from './bench_simulate.ts'
import { deployments } from './deployments.ts'
import { rankOwnersByTwoChoices } from '@bilberryworks/steering'

const seed = 20260612
const eventAtMs = 10_000
const partitionMs = 20_000
const coldRequestsPerTarget = 30
const failureScenario = 'region fails at the rush'

/** A scenario with the load reports that instances see in it. */
export interface BenchScenario extends Scenario {
  /** Age and accuracy of the load reports; the default of the router if absent. */
  reports?: ReportOptions
}

/** Lists every third target, which includes targets of all regions. */
const listEveryThirdTarget = (cluster: SimCluster): SimCluster['targets'] => cluster.targets.filter((_, index) => index % 3 === 2)

function scheduleTopologyChange (cluster: SimCluster, atMs: number, change: () => void): void {
  cluster.clock.schedule(atMs, () => {
    change()
    cluster.topologyVersion++
  })
}

/** Scenarios of steady load, rushes, failures, misleading load reports, cold and leaving targets, and retry storms. */
export const scenarios: BenchScenario[] = [
  { name: 'steady 60 %', durationMs: 30_000, getLoad: () => 0.6 },
  { name: 'steady 90 %', durationMs: 30_000, getLoad: () => 0.9 },
  { name: 'rush 130 %', durationMs: 30_000, getLoad: () => 1.3 },
  { name: 'rush 200 %', durationMs: 30_000, getLoad: () => 2 },
  {
    name: failureScenario,
    durationMs: 60_000,
    getLoad: () => 0.85,
    prepare: cluster => scheduleTopologyChange(cluster, eventAtMs, () => {
      const [region] = cluster.deployment.regions
      for (const each of [...cluster.instances, ...cluster.targets]) if (each.region === region) each.isAlive = false
    })
  },
  {
    name: 'a region is cut off for 20 s, 85 %',
    durationMs: 60_000,
    getLoad: () => 0.85,
    prepare: cluster => {
      scheduleTopologyChange(cluster, eventAtMs, () => { cluster.partitionedRegion = cluster.deployment.regions[0] })
      scheduleTopologyChange(cluster, eventAtMs + partitionMs, () => { cluster.partitionedRegion = undefined })
    }
  },
  { name: 'reports 10 s late, 90 %', durationMs: 30_000, getLoad: () => 0.9, reports: { lagMs: 10_000 } },
  { name: 'reports say idle, 90 %', durationMs: 30_000, getLoad: () => 0.9, reports: { lagMs: 1_000, getFalseLoad: () => 0 } },
  { name: 'reports say full, 90 %', durationMs: 30_000, getLoad: () => 0.9, reports: { lagMs: 1_000, getFalseLoad: slots => slots } },
  {
    name: 'a third starts cold, 60 %',
    durationMs: 30_000,
    getLoad: nowMs => nowMs < eventAtMs ? 0.4 : 0.6,
    prepare: cluster => {
      for (const target of listEveryThirdTarget(cluster)) target.leaving = true
      scheduleTopologyChange(cluster, eventAtMs, () => {
        for (const target of listEveryThirdTarget(cluster)) {
          target.leaving = false
          target.remainingColdRequests = coldRequestsPerTarget
        }
      })
    }
  },
  {
    name: 'a third leaves, 60 %',
    durationMs: 30_000,
    getLoad: () => 0.6,
    prepare: cluster => scheduleTopologyChange(cluster, eventAtMs, () => listEveryThirdTarget(cluster).forEach(target => { target.leaving = true }))
  },
  { name: 'retry storm, 200 % for 10 s', durationMs: 40_000, getLoad: nowMs => nowMs < eventAtMs ? 2 : 0.6, maxAttempts: 4 },
  { name: 'retry storm, fixed 1 s', durationMs: 40_000, getLoad: nowMs => nowMs < eventAtMs ? 2 : 0.6, maxAttempts: 4, getRetryDelayMs: () => 1_000 }
]

const formatMs = (value: number | undefined): string => value === undefined ? '' : value < 100 ? value.toFixed(1) : value.toFixed(0)
const formatShare = (value: number): string => `${(100 * value).toFixed(1)} %`

const head = ['policy', 'requests', 'answered', 'refused', 'refused with a free slot', 'slot utilization', 'overloaded target seconds', 'peak region utilization', 'outside home region', 'attempts', 'look-up p50/p99/p999 ms', 'order p50/p99/p999 ms', 'upload p50/p99 ms']

function renderRow (name: string, measurements: Measurements): Array<string | number> {
  const lookUp = measurements.latency['look-up']
  const order = measurements.latency['at-most-once']
  const upload = measurements.latency['upload']
  return [
    name, measurements.requests, measurements.answered, measurements.refused, measurements.refusedWithFreeSlot, formatShare(measurements.slotUtilization), measurements.overloadedTargetSeconds,
    formatShare(measurements.peakRegionUtilization), measurements.requestsOutsideHomeRegion, measurements.attempts,
    [lookUp?.p50, lookUp?.p99, lookUp?.p999].map(formatMs).join(' / '),
    [order?.p50, order?.p99, order?.p999].map(formatMs).join(' / '),
    [upload?.p50, upload?.p99].map(formatMs).join(' / ')
  ]
}

const noSlowStartPolicy: Policy = {
  name: 'feeders, no slow start',
  create: cluster => createOwnerRouter(cluster, { rankOwners: rankOwnersByTwoChoices, waitShare: 0.5, usesSlowStart: false })
}

/**
 * Simulates all policies in all scenarios, and checks whether the policy in production meets its aims.
 *
 * @returns The report with a table for each scenario, and plots over time
 */
export function runScenarioBench (): BenchReport {
  const sections: string[] = [`Seed ${seed}; the same arrivals for each policy. Overloaded target seconds are seconds in which a target was sent more requests than it has slots, summed over all targets.`]
  const plots: BenchPlot[] = []
  const aims: Array<Array<string | number>> = []
  for (const [name, deployment] of Object.entries(deployments)) {
    sections.push(`## ${name}`)
    for (const scenario of scenarios) {
      const rows: Array<Array<string | number>> = []
      const policies = scenario.name.includes('cold') ? [...allPolicies, noSlowStartPolicy] : allPolicies
      for (const policy of policies) {
        const measurements = simulate(cluster => policy.create(cluster, scenario.reports), { deployment, scenario, seed })
        rows.push(renderRow(policy.name, measurements))
        if (policy === productionPolicy) {
          aims.push(...compareWithAims({ name, deployment, scenario, measurements }))
          plots.push(...renderPlots({ name, scenario, measurements }))
        }
      }
      sections.push(`### ${name}: ${scenario.name}`, renderTable(head, rows))
      const plot = plots.find(each => each.fileName === formatPlotFileName(name, scenario))
      if (plot !== undefined) sections.push(`![Share of requests answered, and answered outside the home region, by second](${plot.fileName})`)
    }
  }
  const aimTable = renderTable(['deployment', 'scenario', 'aim', 'measured', 'met'], aims)
  const missed = aims.filter(row => row[4] === 'no').length
  const summary = `Of ${aims.length} aims ${missed} are missed; the first table shows the measured values.`
  return { summary, markdown: ['## Aims', aimTable, ...sections].join('\n\n'), plots }
}

function compareWithAims (run: { name: string, deployment: Deployment, scenario: BenchScenario, measurements: Measurements }): Array<Array<string | number>> {
  const { name, scenario, measurements } = run
  const row = (aim: string, value: string, isMet: boolean): string[] => [name, scenario.name, aim, value, isMet ? 'yes' : 'no']
  const rows = [row('no overloaded target second', `${measurements.overloadedTargetSeconds}`, measurements.overloadedTargetSeconds === 0)]
  if (scenario.name === 'rush 130 %') rows.push(row('slot utilization of 95 % or more', formatShare(measurements.slotUtilization), measurements.slotUtilization >= 0.95))
  if (scenario.name === failureScenario) {
    const lastRefusalAfterMs = measurements.lastShiftCapRefusalMs - eventAtMs
    rows.push(row('last refusal by the shift cap 30 s after the failure, the duration of the shift at this cap', `${(lastRefusalAfterMs / 1000).toFixed(1)} s`, Math.abs(lastRefusalAfterMs - 30_000) < 1_000))
  }
  if (scenario.name === 'steady 60 %') {
    rows.push(row('no request refused', `${measurements.refused}`, measurements.refused === 0))
    const omniscient = simulateOmniscient({ ...run, seed })
    for (const [requestClass, latency] of Object.entries(measurements.latency)) {
      const ratio = latency.p99 / omniscient[requestClass]!.p99
      rows.push(row(`p99 of ${requestClass} at most 1.5 times that of an omniscient scheduler`, `${formatMs(latency.p99)} ms / ${formatMs(omniscient[requestClass]!.p99)} ms = ${ratio.toFixed(2)}`, ratio <= 1.5))
    }
  }
  return rows
}

const formatPlotFileName = (name: string, scenario: Scenario): string => `${name}-${scenario.name.replaceAll(/[^a-z0-9]+/g, '-')}.svg`

function renderPlots ({ name, scenario, measurements }: { name: string, scenario: BenchScenario, measurements: Measurements }): BenchPlot[] {
  if (scenario.prepare === undefined && scenario.maxAttempts === undefined) return []
  const svg = renderLinePlot(`${name}: ${scenario.name}`, [
    { name: 'answered', values: measurements.answeredShareBySecond },
    { name: 'outside home region', values: measurements.outsideHomeShareBySecond }
  ])
  return [{ fileName: formatPlotFileName(name, scenario), svg }]
}
