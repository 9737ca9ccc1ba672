/**
 * Measures the ways to choose the feeder in a region.
 *
 * @module
 */
import type { BenchReport } from './bench_part.ts'

/**
 * Runs the benchmark of the choice of feeder.
 *
 * @returns The report
 */
export function runFeederBench (): BenchReport {
  return { summary: 'Not measured yet.', markdown: '' }
}
