/**
 * Faults of the host of an instance.
 *
 * @module
 */
import type { SoakInstance, TimeSpan } from './soak_instance.ts'
import type { SoakEvent } from './soak_plan.ts'
import { execFile } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { appendFile, readFile, writeFile } from 'node:fs/promises'
import { createServer } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { promisify } from 'node:util'
import { entryPorts } from '../entry_process.ts'
import { addedFaults, maxTargetNumber, SoakFault, SoakFaultSet } from './soak_plan.ts'

/** Faults that {@linkcode applyHostFault} applies. */
export const hostFaults = new Set(addedFaults[SoakFaultSet.Host])

const addressPorts = Object.values(entryPorts)
const minSpareDescriptors = 12
const minPausedShare = 0.3
const settingsParts = 5
const capPeriodMs = 100
const runProgram = promisify(execFile)

/**
 * Applies a fault of the host to an instance.
 *
 * @param instance The instance
 * @param event Kind of the fault, its duration, and a number by which its extent is chosen
 */
export async function applyHostFault (instance: SoakInstance, { fault, durationMs, target }: Pick<SoakEvent, 'fault' | 'durationMs' | 'target'>): Promise<void> {
  if (fault === SoakFault.OutputClosed) instance.process.closeOutput()
  else if (fault === SoakFault.AddressTaken) await startWithTakenAddress(instance, { port: addressPorts[target % addressPorts.length]!, durationMs })
  else if (fault === SoakFault.SettingsSlow) await startWithSlowSettings(instance, durationMs)
  else if (fault === SoakFault.DescriptorsLow) await runWithFewDescriptors(instance, { spare: minSpareDescriptors + target % minSpareDescriptors, durationMs })
  else await runWithCappedProcessor(instance, { pausedShare: minPausedShare + target / maxTargetNumber / 2, durationMs })
}

/** Kills an instance and starts it again while another listener has one of its addresses. */
async function startWithTakenAddress (instance: SoakInstance, { port, durationMs }: { port: number, durationMs: number }): Promise<void> {
  await instance.restart({
    async prepare () {
      const holder = createServer(socket => socket.destroy())
      await new Promise<void>((resolve, reject) => {
        holder.once('error', reject)
        holder.listen({ host: instance.address.host, port }, resolve)
      })
      setTimeout(() => { holder.close() }, durationMs)
    }
  })
}

/** Kills an instance and starts it again while its settings file is written part by part. */
async function startWithSlowSettings (instance: SoakInstance, durationMs: number): Promise<void> {
  let written: Promise<void> | undefined
  await instance.restart({
    async prepare ({ settingsFile }) {
      const text = await readFile(settingsFile, 'utf8')
      const partLength = Math.ceil(text.length / settingsParts)
      await writeFile(settingsFile, text.slice(0, partLength))
      written = writeParts(settingsFile, { text: text.slice(partLength), partLength, pauseMs: durationMs / (settingsParts - 1) })
    }
  })
  await written
}

/** Lowers the soft limit of open descriptors of a process while it runs, and raises it again. */
async function runWithFewDescriptors ({ process, strains }: SoakInstance, { spare, durationMs }: { spare: number, durationMs: number }): Promise<void> {
  const child = process.getChild()
  if (child?.pid === undefined || child.exitCode !== null || child.signalCode !== null || strains.some(({ toMs }) => toMs === Infinity)) return
  const span: TimeSpan = { fromMs: performance.now(), toMs: Infinity }
  strains.push(span)
  const [limit] = /^Max open files\s+(\d+)/m.exec(readFileSync(`/proc/${child.pid}/limits`, 'utf8'))!.slice(1)
  await runProgram('prlimit', ['--pid', String(child.pid), `--nofile=${process.getIdleDescriptors() + spare}:`])
  await wait(durationMs)
  if (child.exitCode === null && child.signalCode === null) await runProgram('prlimit', ['--pid', String(child.pid), `--nofile=${limit}:`])
  span.toMs = performance.now()
}

/** Pauses an instance for a share of each tenth of a second. */
async function runWithCappedProcessor ({ process, strains }: SoakInstance, { pausedShare, durationMs }: { pausedShare: number, durationMs: number }): Promise<void> {
  const span: TimeSpan = { fromMs: performance.now(), toMs: Infinity }
  strains.push(span)
  while (performance.now() < span.fromMs + durationMs && !process.isDisposed()) {
    const child = process.getChild()
    child?.kill('SIGSTOP')
    await wait(capPeriodMs * pausedShare)
    child?.kill('SIGCONT')
    await wait(capPeriodMs * (1 - pausedShare))
  }
  span.toMs = performance.now()
}

async function writeParts (file: string, { text, partLength, pauseMs }: { text: string, partLength: number, pauseMs: number }): Promise<void> {
  for (let offset = 0; offset < text.length; offset += partLength) {
    await wait(pauseMs)
    await appendFile(file, text.slice(offset, offset + partLength))
  }
}
