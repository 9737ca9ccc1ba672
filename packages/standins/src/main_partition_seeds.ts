/**
 * Process that runs seeds of the simulation of partial partitions, and prints the result of each as a line of JSON.
 *
 * @module
 */
import type { PartitionRunOptions } from './emulator/partition_run.ts'
import { runPartitionSeed } from './emulator/partition_run.ts'

const { seeds, ...options } = JSON.parse(process.argv[2]!) as Omit<PartitionRunOptions, 'seed'> & { seeds: number[] }
for (const seed of seeds) console.log(JSON.stringify(await runPartitionSeed({ ...options, seed })))
