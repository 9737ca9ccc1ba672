/**
 * Measures the resource use at several sizes, from which docs/CAPACITY.md calculates the resources of the planned size.
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

const plannedNodes = 550
const plannedPollMs = 5_000

/** Parts of the capacity benchmark by name. */
const parts: Record<string, (addTable: AddTable) => Promise<unknown>> = {
  rows: measureRows,
  processes: measureProcesses,
  control: addTable => measureControl(addTable),
  recovery: addTable => measureRecoveries({ nodes: plannedNodes, services: 10, targets: 100, pollMs: plannedPollMs }, addTable),
  map: measureMaps,
  lookups: addTable => measureLookUps([0, blockCounts.at(-1)!], addTable)
}

/** The capacity benchmark as a part of `npm run bench`. */
export const capacityPart: BenchPart = {
  name: 'capacity',
  title: 'Capacity at the planned size',
  async run () {
    const markdown = await measureCapacity()
    return { summary: 'Cost of control traffic, recovery, the map of client blocks and look-ups; [CAPACITY.md](../CAPACITY.md) calculates the planned size from them.', markdown }
  }
}

/**
 * Runs parts of the capacity benchmark and prints their tables.
 *
 * @param names Names of the parts to run; all by default
 * @throws If a part is unknown
 */
export async function runCapacityBench (names?: string[]): Promise<void> {
  await measureCapacity(names)
}

async function measureCapacity (names = Object.keys(parts)): Promise<string> {
  const report = createTableReport()
  const loadAverages: object[] = []
  for (const name of names) {
    const measure = parts[name]
    if (measure === undefined) throw new Error(`Unknown part of the capacity benchmark "${name}"; the parts are ${Object.keys(parts).join(', ')}`)
    const loadBefore = loadavg()[0]!.toFixed(1)
    await measure(report.addTable)
    loadAverages.push({ part: name, loadBefore, loadAfter: loadavg()[0]!.toFixed(1) })
  }
  report.addTable(`Load average of the machine (${availableParallelism()} cores; a load above 1 means that other processes shared them)`, loadAverages)
  return report.render()
}
