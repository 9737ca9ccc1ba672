/**
 * Memory and processor time of running processes, read from `/proc`.
 *
 * @module
 */
import { readFileSync } from 'node:fs'

const pageBytes = 4096
const ticksPerSecond = 100
const sampleMs = 20

/**
 * Reads the resident memory of a process.
 *
 * @param pid Its identifier
 * @returns Bytes
 */
export function readResidentBytes (pid: number): number {
  return Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]) * pageBytes
}

/**
 * Reads the processor time that a process has used.
 *
 * @param pid Its identifier
 * @returns Seconds
 */
export function readProcessorSeconds (pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond
}

/**
 * Measures by how much the resident memory of processes rises while something runs.
 *
 * @param pids Identifiers of the processes
 * @param run What runs
 * @returns The largest rise of any of them, in bytes, and the result of the run
 */
export async function measureMemoryRise<T> (pids: number[], run: () => Promise<T>): Promise<{ riseBytes: number, result: T }> {
  const before = pids.map(readResidentBytes)
  let riseBytes = 0
  const timer = setInterval(() => {
    pids.forEach((pid, index) => { riseBytes = Math.max(riseBytes, readResidentBytes(pid) - before[index]!) })
  }, sampleMs)
  try {
    const result = await run()
    return { result, riseBytes }
  } finally {
    clearInterval(timer)
  }
}
