/**
 * Compares policies by which an instance chooses the owner that it forwards a request to, and by which an owner chooses one of its targets.
 *
 * @module
 */
import type { ChooseTarget } from '@bilberryworks/steering'
import type { BenchReport } from './bench_part.ts'
import type { Policy } from './bench_policies.ts'
import type { Measurements, Scenario } from './bench_simulate.ts'
import { chooseAnyFree, chooseRoundRobin, chooseLeastBusy, chooseMostFree, rankOwnersByTwoChoices } from '@bilberryworks/steering'
import { renderTable } from './bench_part.ts'
import { ownerPolicies } from './bench_policies.ts'
import { createOwnerRouter } from './bench_routers.ts'
import { simulate } from './bench_simulate.ts'
import { deployments } from './deployments.ts'

const seeds = [20260612, 20260613]
const scenarios: Scenario[] = [0.6, 0.9, 1.3].map(load => ({ name: `${load * 100} %`, durationMs: 15_000, getLoad: () => load }))

const periodicReportPolicies: Policy[] = ownerPolicies.map((policy): Policy => ({
  name: `${policy.name}, reports once a second`,
  create: cluster => policy.create(cluster, { lagMs: 1_000 }, { usesPeriodicReportsOnly: true })
})).filter(policy => !policy.name.startsWith('by caller') && !policy.name.startsWith('random'))

/** Simulates policies in a scenario with all seeds; returns a table row of means for each policy and deployment. */
function measurePolicies (policies: Policy[], scenario: Scenario): Array<Array<string | number>> {
  return Object.entries(deployments).flatMap(([name, deployment]) => policies.map(policy => {
    const runs = seeds.map(seed => simulate(cluster => policy.create(cluster), { deployment, scenario, seed }))
    const mean = (read: (run: Measurements) => number): string => (runs.reduce((sum, run) => sum + read(run), 0) / runs.length).toFixed(1)
    return [
      name, policy.name, mean(run => run.answered), mean(run => run.refused), mean(run => run.refusedWithFreeSlot), mean(run => 100 * run.slotUtilization),
      mean(run => run.overloadedTargetSeconds), mean(run => run.latency['look-up']!.p50), mean(run => run.latency['look-up']!.p99),
      mean(run => run.latency['at-most-once']!.p99), mean(run => run.latency['upload']!.p99)
    ]
  }))
}

const head = ['deployment', 'policy', 'answered', 'refused', 'refused with a free slot', 'slot utilization %', 'overloaded target seconds', 'look-up p50 ms', 'look-up p99 ms', 'order p99 ms', 'upload p99 ms']

function renderScenarios (policies: Policy[]): { markdown: string, rows: Array<Array<string | number>> } {
  const sections: string[] = []
  const rows: Array<Array<string | number>> = []
  for (const scenario of scenarios) {
    const measurements = measurePolicies(policies, scenario)
    rows.push(...measurements.map(row => [scenario.name, ...row]))
    sections.push(`### Load ${scenario.name}`, renderTable(head, measurements))
  }
  return { markdown: sections.join('\n\n'), rows }
}

const p99Column = 9

/**
 * Compares policies that choose the owner to forward a request to, at several loads.
 *
 * @returns The report
 */
export function runOwnerBench (): BenchReport {
  const { markdown, rows } = renderScenarios([...ownerPolicies, ...periodicReportPolicies])
  const formatP99 = (policy: string): string => rows.filter(row => row[0] === '60 %' && row[2] === policy).map(row => `${row[1]} ${row[p99Column]} ms`).join(', ')
  const summary = `p99 of look-ups at a load of 60 %: two choices ${formatP99('two choices')}; by caller ${formatP99('by caller')}; two choices with reports once a second ${formatP99('two choices, reports once a second')}.`
  return { summary, markdown: `Means over the seeds ${seeds.join(', ')}; owners report their load with each response unless the name says otherwise.\n\n${markdown}` }
}

/**
 * Compares policies by which an owner chooses one of its targets, at several loads.
 *
 * @returns The report
 */
export function runTargetBench (): BenchReport {
  const choosers: Array<[string, ChooseTarget]> = [
    ['most free slots', chooseMostFree], ['least in flight', chooseLeastBusy], ['random among free', chooseAnyFree], ['round robin among free', chooseRoundRobin]
  ]
  const { markdown } = renderScenarios(choosers.map(([name, chooseTarget]) => ({
    name,
    create: cluster => createOwnerRouter(cluster, { rankOwners: rankOwnersByTwoChoices, chooseTarget })
  })))
  const summary = 'Among the targets of one owner the choice hardly matters, since the owner sends none of them more requests than it has slots. The target with the most free slots is used, as this spreads the share of a cold or slow target over the others.'
  return { summary, markdown: `Means over the seeds ${seeds.join(', ')}.\n\n${markdown}` }
}
