/**
 * Reads memory use and CPU time of running processes from `/proc` (Linux).
 *
 * @module
 */
import { readFileSync } from 'node:fs'

const pageBytes = 4096
const ticksPerSecond = 100
const sampleIntervalMs = 20

/**
 * Reads the resident set size of a process.
 *
 * @param pid Process identifier
 * @returns Resident memory, in bytes
 */
export function readResidentBytes (pid: number): number {
  return Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]) * pageBytes
}

/**
 * Reads the CPU time that a process has used, in user and system mode.
 *
 * @param pid Process identifier
 * @returns CPU time, in seconds
 */
export function readCpuSeconds (pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond
}

/**
 * Measures how much the resident memory of processes rises while an operation runs, sampled every 20 ms.
 *
 * @param pids Process identifiers
 * @param run Operation to run
 * @returns Largest rise of any process above its memory before the operation, in bytes, and the result of the operation
 */
export async function measureMemoryRise<T> (pids: number[], run: () => Promise<T>): Promise<{ riseBytes: number, result: T }> {
  const initialBytes = pids.map(readResidentBytes)
  let riseBytes = 0
  const timer = setInterval(() => {
    pids.forEach((pid, index) => { riseBytes = Math.max(riseBytes, readResidentBytes(pid) - initialBytes[index]!) })
  }, sampleIntervalMs)
  try {
    const result = await run()
    return { result, riseBytes }
  } finally {
    clearInterval(timer)
  }
}
