/**
 * Prints the slopes from which docs/CAPACITY.md works out the size of the long-run plan.
 *
 * @module
 */
import { availableParallelism, loadavg } from 'node:os'
import { measureControl, measureRecoveries } from './bench_capacity_control.ts'
import { measureLookUps } from './bench_capacity_look_up.ts'
import { blockCounts, measureMaps } from './bench_capacity_map.ts'
import { measureProcesses } from './bench_capacity_processes.ts'

const planNodes = 550

/** Parts of the bench, by the name that selects one. */
const parts: Record<string, () => Promise<unknown>> = {
  processes: measureProcesses,
  control: measureControl,
  recovery: () => measureRecoveries({ nodes: planNodes, services: 10, targets: 100 }),
  map: measureMaps,
  lookups: () => measureLookUps([0, blockCounts.at(-1)!])
}

/**
 * Runs the bench and prints its tables.
 *
 * @param names Parts to run; all by default
 */
export async function runCapacityBench (names: string[] = Object.keys(parts)): Promise<void> {
  for (const name of names) {
    const measure = parts[name]
    if (measure === undefined) throw new Error(`Part "${name}" is none of ${Object.keys(parts).join(', ')}`)
    console.log(`\n## ${name} (${availableParallelism()} cores, load ${loadavg()[0]?.toFixed(1)})`)
    await measure()
  }
}
