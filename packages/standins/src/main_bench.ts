/**
 * Command line of the benchmark: prints the results, and writes docs/MEASUREMENTS.md with a page for each part.
 *
 * @module
 */
import type { BenchOptions, BenchPart } from './bench_part.ts'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { command, number, option, optional, positional, restPositionals, run, string } from 'cmd-ts'
import { renderBenchIndex, writeBenchPage } from './bench_part.ts'
import { capacityPart } from './bench_capacity.ts'
import { runBytesBench } from './bench_bytes.ts'
import { runDistributionBench } from './bench_distribution.ts'
import { runFleetBench } from './bench_fleet.ts'
import { runOwnerBench, runTargetBench } from './bench_owner_choice.ts'
import { runCostBench } from './bench_cost.ts'
import { runLossesBench } from './bench_losses.ts'
import { runLongBodiesBench } from './bench_long_bodies.ts'
import { runLinkBench } from './bench_links.ts'
import { runPathBench } from './bench_path.ts'
import { runReachBench } from './bench_reach.ts'
import { runTargetSelectionBench } from './bench_placement.ts'
import { runScenarioBench } from './bench_scenarios.ts'

const exitFailure = 1
/** Reads logs instead of measuring, so that it is not a part of the index. */
const lossesName = 'losses'
const docsFolder = fileURLToPath(new URL('../../../docs', import.meta.url))

/** Parts of the benchmark, in the order of the index. */
const parts: BenchPart[] = [
  { name: 'policies', title: 'Target selection on the users\' platform', run: runTargetSelectionBench },
  { name: 'scenarios', title: 'Routing policies under load and faults', run: runScenarioBench },
  { name: 'fleet', title: 'Bounds of the whole fleet', run: runFleetBench },
  { name: 'reach', title: 'Instances without a path to targets', run: runReachBench },
  { name: 'distribution', title: 'Distribution of documents', run: runDistributionBench },
  { name: 'feeder', title: 'Choice of the owner in a region', run: runOwnerBench },
  { name: 'target', title: 'Choice of the target by its owner', run: runTargetBench },
  { name: 'cost', title: 'Cost of a decision', run: runCostBench },
  { name: 'path', title: 'Path of a request', run: runPathBench },
  { name: 'links', title: 'Bandwidth of links between regions', run: runLinkBench },
  { name: 'bytes', title: 'Bytes that are costly to receive', run: runBytesBench },
  { name: 'long_bodies', title: 'Bodies of 1 GB to slow readers', run: runLongBodiesBench },
  capacityPart
]

async function runParts (name: string | undefined, options: BenchOptions): Promise<void> {
  if (name === lossesName) {
    const { summary, markdown } = await runLossesBench(options)
    console.log(`${summary}\n\n${markdown}`)
    return
  }
  const selected = name === undefined ? parts : parts.filter(part => part.name === name)
  if (selected.length === 0) throw new Error(`Unknown part of the benchmark "${name}"; the parts are ${parts.map(part => part.name).join(', ')}`)
  const folder = join(docsFolder, 'measurements')
  for (const part of selected) {
    const report = await part.run(options)
    console.log(`\n# ${part.title}\n\n${report.summary}\n\n${report.markdown}`)
    if (report.hasFailed === true) process.exitCode = exitFailure
    if (report.isTrace === true) return
    await writeBenchPage(part, { report, folder })
  }
  await writeFile(join(docsFolder, 'MEASUREMENTS.md'), await renderBenchIndex(parts, folder))
}

const bench = command({
  name: 'bench',
  description: 'Measures routing decisions, real instances and capacity, and writes docs/MEASUREMENTS.md',
  args: {
    part: positional({ type: optional(string), displayName: 'part', description: 'Part of the benchmark to run; all by default' }),
    files: restPositionals({ type: string, displayName: 'files', description: 'Log files, for "losses" only' }),
    instances: option({ long: 'instances', type: optional(number), description: 'Number of instances of a simulated fleet' }),
    seeds: option({ long: 'seeds', type: optional(number), description: 'Number of seeds to simulate' }),
    jobs: option({ long: 'jobs', type: optional(number), description: 'Number of processes that simulate at the same time; 4 by default' }),
    seed: option({ long: 'seed', type: optional(number), description: 'The only seed to simulate; prints the shortest schedule that breaks a rule, and a trace' })
  },
  handler: async ({ part, ...options }) => runParts(part, options)
})

await run(bench, process.argv.slice(2))
