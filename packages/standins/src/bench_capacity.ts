/**
 * Prints the slopes from which docs/CAPACITY.md works out the size of the long-run plan.
 *
 * @module
 */
import type { AddTable } from './bench_capacity_report.ts'
import type { BenchPart } from './bench_part.ts'
import { availableParallelism, loadavg } from 'node:os'
import { measureControl, measureRecoveries } from './bench_capacity_control.ts'
import { measureLookUps } from './bench_capacity_look_up.ts'
import { blockCounts, measureMaps } from './bench_capacity_map.ts'
import { measureProcesses } from './bench_capacity_processes.ts'
import { createTableReport } from './bench_capacity_report.ts'
import { measureRows } from './bench_capacity_rows.ts'

const planNodes = 550
const planPollMs = 5_000

/** Parts of the bench, by the name that selects one. */
const parts: Record<string, (addTable: AddTable) => Promise<unknown>> = {
  rows: measureRows,
  processes: measureProcesses,
  control: addTable => measureControl(addTable),
  recovery: addTable => measureRecoveries({ nodes: planNodes, services: 10, targets: 100, pollMs: planPollMs }, addTable),
  map: measureMaps,
  lookups: addTable => measureLookUps([0, blockCounts.at(-1)!], addTable)
}

/** The bench as a part of `npm run bench`. */
export const capacityPart: BenchPart = {
  name: 'capacity',
  title: 'Slopes at the size of the long-run plan',
  async run () {
    const markdown = await measureCapacity()
    return { summary: 'Slopes of control, recovery, the map of client blocks and look-ups; [CAPACITY.md](../CAPACITY.md) works them out for the plan.', markdown }
  }
}

/**
 * Runs the bench and prints its tables.
 *
 * @param names Parts to run; all by default
 */
export async function runCapacityBench (names?: string[]): Promise<void> {
  await measureCapacity(names)
}

async function measureCapacity (names = Object.keys(parts)): Promise<string> {
  const report = createTableReport()
  const loads: object[] = []
  for (const name of names) {
    const measure = parts[name]
    if (measure === undefined) throw new Error(`Part "${name}" is none of ${Object.keys(parts).join(', ')}`)
    const loadBefore = loadavg()[0]!.toFixed(1)
    await measure(report.addTable)
    loads.push({ part: name, loadBefore, loadAfter: loadavg()[0]!.toFixed(1) })
  }
  report.addTable(`Load of the machine (${availableParallelism()} cores, shared with other work where above 1)`, loads)
  return report.render()
}
