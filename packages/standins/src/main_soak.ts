/**
 * Command line of the soak: runs seeds of faults against real processes, and reports which promises were broken.
 *
 * @module
 */
import type { SoakRecord } from './soak/soak_checks.ts'
import { mkdir, mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { array, command, flag, multioption, number, oneOf, option, optional, run, string } from 'cmd-ts'
import { renderTable } from './bench_part.ts'
import { renderLinePlot } from './bench_plot.ts'
import { runSoak } from './soak/run_soak.ts'
import { listSoakBreaches } from './soak/soak_checks.ts'
import { createSoakPlan, formatSoakPlan, SoakFaultSet } from './soak/soak_plan.ts'
import { SoakScale } from './soak/soak_site.ts'

const exitFailure = 1
const msPerMinute = 60_000
const msPerSecond = 1_000
const bytesPerMegabyte = 1_000_000
/** Log lines of a request that are printed for a broken promise. */
const maxPrintedLines = 20

/** Writes the calls by second as a table and a plot. */
async function writeReport (folder: string, { calls, startMs, plan }: SoakRecord): Promise<void> {
  const seconds = Math.ceil(plan.durationMs / msPerSecond)
  const countBySecond = (matches: (status: number | undefined) => boolean): number[] => {
    const counts = new Array<number>(seconds).fill(0)
    for (const { sentAtMs, status } of calls) {
      const second = Math.floor((sentAtMs - startMs) / msPerSecond)
      if (second < seconds && matches(status)) counts[second]!++
    }
    return counts
  }
  const lines = [
    { name: 'served', values: countBySecond(status => status === 200) },
    { name: 'not run', values: countBySecond(status => status === 503) },
    { name: 'failed', values: countBySecond(status => status !== 200 && status !== 503) }
  ]
  await writeFile(join(folder, 'calls.svg'), renderLinePlot(`Soak with seed ${plan.seed}, calls by second`, lines))
  const rows = lines[0]!.values.map((served, second) => [second, served, lines[1]!.values[second]!, lines[2]!.values[second]!])
  await writeFile(join(folder, 'report.md'), `# Soak with seed ${plan.seed}\n\n${renderTable(['second', 'served', 'not run', 'failed'], rows)}\n\n## Faults\n\n${formatSoakPlan(plan)}\n`)
}

/** Prints the log lines of the first request that a text names. */
function printLogLines (breach: string, { logs }: SoakRecord): void {
  const id = /soak-\d+/.exec(breach)?.[0]
  if (id === undefined) return
  const lines = [...logs.values()].flat().filter(line => line['id'] === id)
  for (const line of lines.slice(0, maxPrintedLines)) console.log(`  ${JSON.stringify(line)}`)
}

async function runSeed (seed: number, { minutes, instances, folder, sets, ...options }: { minutes: number, instances: number, folder: string, sets: SoakFaultSet[], scale: SoakScale, program: string | undefined, flags: string[] }): Promise<boolean> {
  const plan = createSoakPlan({ seed, instances, durationMs: minutes * msPerMinute, sets })
  const seedFolder = join(folder, `seed-${seed}`)
  await mkdir(seedFolder, { recursive: true })
  const record = await runSoak({ ...options, plan, folder: seedFolder })
  await writeReport(seedFolder, record)
  const breaches = listSoakBreaches(record)
  const served = record.calls.filter(({ status }) => status === 200).length
  console.log(`seed ${seed}: ${plan.events.length} faults, ${served} of ${record.calls.length} calls served, ${breaches.length} promises broken, peak memory ${Math.round(Math.max(...record.instances.map(({ process }) => process.getPeakBytes())) / bytesPerMegabyte)} MB`)
  if (breaches.length > 0) console.log(formatSoakPlan(plan))
  for (const breach of breaches) {
    console.log(`seed ${seed}: ${breach}`)
    printLogLines(breach, record)
  }
  return breaches.length === 0
}

const soak = command({
  name: 'soak',
  description: 'Runs real entry instances under faults and checks what callers and targets see',
  args: {
    seed: option({ long: 'seed', type: number, description: 'First seed' }),
    seeds: option({ long: 'seeds', type: number, defaultValue: () => 1, description: 'Number of seeds, one after the other' }),
    minutes: option({ long: 'minutes', type: number, defaultValue: () => 1, description: 'Duration of the load of each seed' }),
    instances: option({ long: 'instances', type: number, defaultValue: () => 5, description: 'Number of instances; each has two processes' }),
    scale: option({ long: 'scale', type: oneOf(Object.values(SoakScale)), defaultValue: () => SoakScale.Small, description: 'Size of the deployment; full has 34 targets and 325 requests a second, and storms of configurations' }),
    host: flag({ long: 'host', description: 'Adds faults of the hosts of instances' }),
    bytes: flag({ long: 'bytes', description: 'Adds targets and callers whose bytes are costly to receive, and limits the memory of instances' }),
    program: option({ long: 'program', type: optional(string), description: 'Path of the program to run; that of this build by default' }),
    flags: multioption({ long: 'flag', type: array(string), description: 'Flag of the program' }),
    output: option({ long: 'output', type: optional(string), description: 'Folder for logs and reports; a temporary one by default' })
  },
  async handler ({ seed, seeds, minutes, instances, scale, host, bytes, program, flags, output }) {
    const sets = [...scale === SoakScale.Full ? [SoakFaultSet.Storms] : [], ...host ? [SoakFaultSet.Host] : [], ...bytes ? [SoakFaultSet.Bytes] : []]
    const folder = output ?? await mkdtemp(join(tmpdir(), 'soak-'))
    let failures = 0
    for (let index = 0; index < seeds; index++) if (!await runSeed(seed + index, { minutes, instances, folder, sets, scale, program, flags })) failures++
    console.log(`${seeds} seeds, ${failures} with a broken promise; logs and reports in ${folder}`)
    process.exit(failures > 0 ? exitFailure : 0)
  }
})

// The instances end with this process.
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(exitFailure))

await run(soak, process.argv.slice(2))
