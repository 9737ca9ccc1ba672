/**
 * Compares target selection policies on simulated sites.
 *
 * @module
 */
import type { BenchPlot, BenchReport } from './bench_part.ts'
import type { SimulationResult } from './emulator/simulate_site.ts'
import { renderTable } from './bench_part.ts'
import { renderLinePlot } from './bench_plot.ts'
import { simulateSite } from './emulator/simulate_site.ts'
import { lessLoadedOfTwoPolicy, targetSelectionPolicies, productionPolicy, unboundedSpilloverPolicy } from './emulator/policies.ts'
import { loadProfiles, siteConfigs } from './emulator/site_plan.ts'

const seeds = [1, 2, 3]
const plottedPolicies = [productionPolicy, unboundedSpilloverPolicy, lessLoadedOfTwoPolicy]
const head = ['policy', 'utility', 'within objective', 'late', 'refused', 'timed out', 'utility in the worst 2 s', 'cold runs per request']

/**
 * Simulates each target selection policy on each site under each load.
 *
 * @returns The report with a table for each site and load, and plots of the rushes
 */
export function runTargetSelectionBench (): BenchReport {
  const sections = [`Means of seeds ${seeds.join(', ')}; the same arrivals for each policy.`]
  const plots: BenchPlot[] = []
  const comparisons: string[] = []
  for (const [index, site] of siteConfigs.entries()) {
    sections.push(`## ${site.name}`)
    for (const load of loadProfiles) {
      const results = new Map(targetSelectionPolicies.map(policy => [policy, seeds.map(seed => simulateSite({ site, load, policy, seed }))]))
      const mean = (policy: typeof productionPolicy, read: (result: SimulationResult) => number): number => results.get(policy)!.reduce((sum, result) => sum + read(result), 0) / seeds.length
      const columns: Array<(result: SimulationResult) => number> = [each => each.utility, each => each.withinObjective, each => each.late, each => each.refused, each => each.timedOut, each => each.worstWindowUtility, each => each.cold]
      sections.push(`### ${load.name}`, renderTable(head, targetSelectionPolicies.map(policy => [policy.name, ...columns.map(read => mean(policy, read).toFixed(3))])))
      if (load.name !== 'rush') continue
      comparisons.push(`${site.name}: utility ${mean(productionPolicy, each => each.utility).toFixed(3)} in a rush, ${mean(unboundedSpilloverPolicy, each => each.utility).toFixed(3)} with unbounded spillover`)
      const fileName = `placement-rush-${index}.svg`
      const svg = renderLinePlot(`${site.name}: share within objective by second`, plottedPolicies.map(policy => ({ name: policy.name, values: results.get(policy)![0]!.withinObjectiveBySecond })))
      plots.push({ fileName, svg })
      sections.push(`![Share of requests answered within the objective, by second of arrival](${fileName})`)
    }
  }
  return { summary: `${comparisons.join('; ')}.`, markdown: sections.join('\n\n'), plots }
}
