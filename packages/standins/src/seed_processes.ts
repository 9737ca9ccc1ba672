/**
 * Runs the seeds of a simulation in several processes at the same time.
 *
 * @module
 */
import { spawn } from 'node:child_process'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

/** Options of {@linkcode runSeeds}. */
export interface RunSeedsOptions<T> {
  /** File name of the compiled script, which takes its options with a list `seeds` as JSON, and prints a line of JSON for each seed. */
  script: string
  /** Options of the script. */
  options: object
  /** The seeds. */
  seeds: number[]
  /** Number of processes. */
  jobs: number
  /** Called with each result as it arrives. */
  onResult?: (result: T) => void
}

/**
 * Runs seeds, and waits for all of them.
 *
 * @param options Script, seeds and number of processes
 * @returns The results, in the order in which they arrived
 * @throws {Error} If a process fails
 */
export async function runSeeds<T> ({ script, options, seeds, jobs, onResult }: RunSeedsOptions<T>): Promise<T[]> {
  const results: T[] = []
  const path = fileURLToPath(new URL(script, import.meta.url))
  await Promise.all(Array.from({ length: jobs }, async (_, job) => {
    const own = seeds.filter((_, index) => index % jobs === job)
    if (own.length === 0) return
    const child = spawn(process.execPath, [path, JSON.stringify({ ...options, seeds: own })], { stdio: ['ignore', 'pipe', 'inherit'] })
    const exited = new Promise<number | null>((resolve, reject) => {
      child.once('error', reject)
      child.once('exit', resolve)
    })
    for await (const line of createInterface({ input: child.stdout })) {
      const result = JSON.parse(line) as T
      results.push(result)
      onResult?.(result)
    }
    const code = await exited
    if (code !== 0) throw new Error(`Process for seeds ${own[0]} to ${own.at(-1)} ended with ${code}`)
  }))
  return results
}
