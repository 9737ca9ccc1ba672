/**
 * Measures how callers are served at instances without a network path to the targets.
 *
 * @module
 */
import type { BenchOptions, BenchReport } from './bench_part.ts'
import type { PartitionResult } from './emulator/partition_run.ts'
import type { FleetPlan } from './emulator/partition_plan.ts'
import type { PlotLine } from './bench_plot.ts'
import { build } from 'hdr-histogram-js'
import { renderTable } from './bench_part.ts'
import { renderLinePlot } from './bench_plot.ts'
import { LinkState } from './emulator/fleet_connection.ts'
import { FleetMutant } from './emulator/fleet_world.ts'
import { createFleetPlan, FleetEventKind, FleetTrouble } from './emulator/partition_plan.ts'
import { createSeedPlan, selectShortestPlan, simulatePlan } from './emulator/partition_run.ts'
import { createSeededRandom } from './emulator/seeded_random.ts'
import { listBreaches } from './emulator/partition_checks.ts'
import { measureRelayCost } from './relay_cost.ts'
import { runSeeds } from './seed_processes.ts'

const script = 'main_partition_seeds.js'
const defaultSizes = [{ instances: 7, seeds: 200 }, { instances: 29, seeds: 200 }, { instances: 77, seeds: 40 }]
const defaultJobs = 4
const plotInstances = 7
const plotSeeds = 30
const plotCutMs = { from: 10_000, to: 22_000 }
const plotSeconds = 32
const links = [LinkState.Reset, LinkState.Hanging, LinkState.RefusingNew, LinkState.LosingResponses]
const progressInterval = 20

interface RowOptions { instances: number, seeds: number[], jobs: number, trouble: FleetTrouble, mutant?: FleetMutant, isSteered: boolean }

/** Ways to serve callers of instances without a path, which are compared on cuts alone. */
const ways: Array<{ name: string, mutant?: FleetMutant, isSteered: boolean }> = [
  { name: 'neither', mutant: FleetMutant.NoRelay, isSteered: false },
  { name: 'look-ups', mutant: FleetMutant.NoRelay, isSteered: true },
  { name: 'relays', isSteered: false },
  { name: 'both', isSteered: true }
]

/**
 * Simulates partial partitions, and measures the cost of a relay on real sockets.
 *
 * @param options Size and seeds, which replace the default ones, and the number of processes
 * @returns The report; `hasFailed` if a seed broke a rule
 */
export async function runReachBench (options: BenchOptions): Promise<BenchReport> {
  const jobs = options.jobs ?? defaultJobs
  if (options.seed !== undefined) return describeSeed({ instances: options.instances ?? plotInstances, seed: options.seed })
  const sizes = options.instances === undefined ? defaultSizes : [{ instances: options.instances, seeds: options.seeds ?? defaultSizes[0]!.seeds }]
  const rows: Array<Array<string | number>> = []
  let breaches = 0
  for (const { instances, seeds } of sizes) {
    const list = Array.from({ length: options.seeds ?? seeds }, (_, seed) => seed)
    for (const trouble of Object.values(FleetTrouble)) {
      for (const { name, ...way } of trouble === FleetTrouble.PartitionsAlone ? ways : ways.slice(-1)) {
        const results = await runRow({ instances, seeds: list, jobs, trouble, ...way })
        if (way.mutant === undefined) breaches += results.filter(result => result.breaches.length > 0).length
        rows.push([instances, trouble, name, ...describeResults(results)])
      }
    }
  }
  const cost = await measureRelayCost()
  const plots = [{ fileName: 'reach-served.svg', svg: renderLinePlot('Share of first attempts served at a cut instance', await measurePlotLines()) }]
  const markdown = [
    'Simulated fleets with the product\'s own parts on a virtual clock. Shares and times are those of first attempts from 1.5 s after the begin of a cut, at instances without a path to any target and at the others meanwhile. Detection is the time from the begin of a cut to the first group judged to be out of reach. False verdicts are groups judged so although connections to one of their targets had been possible for a second.',
    renderTable(['instances', 'trouble', 'relays, look-ups', 'seeds', 'seeds that broke a rule', 'served, cut', 'served, others', 'p50, p99 cut (ms)', 'p50, p99 others (ms)', 'detection p50, p99 (ms)', 'false verdicts', 'longest (ms)'], rows),
    '## One instance of seven loses its path for 12 s',
    '![](reach-served.svg)',
    `Each line is the share of first attempts served by second, over ${plotSeeds} seeds, by what happens to connections. The cut is from 10 to 22 s.`,
    '## Cost of a relay',
    renderTable(['path', 'requests', 'processor time a request (us)', 'p50 (ms)', 'p99 (ms)'], cost)
  ].join('\n\n')
  return { summary: `${rows.reduce((sum, row) => sum + Number(row[3]), 0)} simulated runs, ${breaches} of those with relays broke a rule.`, markdown, plots, hasFailed: breaches > 0 }
}

async function runRow ({ instances, seeds, jobs, trouble, mutant, isSteered }: RowOptions): Promise<PartitionResult[]> {
  let count = 0
  return runSeeds<PartitionResult>({
    script,
    options: { instances, trouble, isSteered, ...mutant === undefined ? {} : { mutant } },
    seeds,
    jobs,
    onResult ({ seed, breaches }) {
      count++
      if (mutant === undefined) for (const breach of breaches) console.error(`${instances} instances, ${trouble}, seed ${seed}: ${breach}`)
      if (count % progressInterval === 0) console.error(`${instances} instances, ${trouble}${mutant === undefined ? '' : `, ${mutant}`}: ${count} of ${seeds.length} seeds`)
    }
  })
}

function describeResults (results: PartitionResult[]): Array<string | number> {
  const sum = (read: (result: PartitionResult) => number): number => results.reduce((total, result) => total + read(result), 0)
  const formatShare = (part: number, whole: number): string => whole === 0 ? '' : (part / whole).toFixed(3)
  const falseVerdicts = results.flatMap(result => result.falseVerdictTimesMs)
  return [
    results.length,
    results.filter(({ breaches }) => breaches.length > 0).length,
    formatShare(sum(({ served }) => served.cutServed), sum(({ served }) => served.cut)),
    formatShare(sum(({ served }) => served.othersServed), sum(({ served }) => served.others)),
    formatQuantiles(results.flatMap(result => result.cutTimesMs)),
    formatQuantiles(results.flatMap(result => result.otherTimesMs)),
    formatQuantiles(results.flatMap(result => result.detectionTimesMs)),
    falseVerdicts.length,
    Math.max(0, ...falseVerdicts)
  ]
}

function formatQuantiles (timesMs: number[]): string {
  if (timesMs.length === 0) return ''
  const histogram = build()
  for (const timeMs of timesMs) histogram.recordValue(timeMs)
  return `${histogram.getValueAtPercentile(50)}, ${histogram.getValueAtPercentile(99)}`
}

/** Measures the share served at one cut instance by second, for each way of cutting, with and without relays. */
async function measurePlotLines (): Promise<PlotLine[]> {
  const lines: PlotLine[] = []
  for (const link of links) lines.push(await measurePlotLine(link, undefined), await measurePlotLine(link, FleetMutant.NoRelay))
  return lines
}

async function measurePlotLine (link: LinkState, mutant: FleetMutant | undefined): Promise<PlotLine> {
  const [sent, served] = [0, 1].map(() => new Array<number>(plotSeconds).fill(0)) as [number[], number[]]
  for (let seed = 0; seed < plotSeeds; seed++) {
    const { attempts } = await simulatePlan(createCutPlan(link, seed), { seed, ...mutant === undefined ? {} : { mutant } })
    for (const { instance, sentAtMs, status } of attempts) {
      const second = Math.floor(sentAtMs / 1_000)
      if (instance !== 'entry-0' || second >= plotSeconds) continue
      sent[second]!++
      if (status === 200) served[second]!++
    }
  }
  return { name: `${link}${mutant === undefined ? '' : ', no relays'}`, values: served.map((count, second) => sent[second] === 0 ? 1 : count / sent[second]!) }
}

function createCutPlan (link: LinkState, seed: number): FleetPlan {
  const plan = createFleetPlan({ instances: plotInstances, trouble: FleetTrouble.Targets, getRandom: createSeededRandom(`cut ${seed}`) })
  const targets = Array.from({ length: plan.targets }, (_, index) => `t${index}`)
  const event = { kind: FleetEventKind.Link, instances: ['entry-0'], targets, peers: [], isDark: false, factor: 1, pauseSeconds: undefined }
  return { ...plan, events: [{ ...event, atMs: plotCutMs.from, link }, { ...event, atMs: plotCutMs.to, link: LinkState.Open }], fullCuts: [{ instance: 'entry-0', fromMs: plotCutMs.from, toMs: plotCutMs.to }] }
}

/** Finds the shortest schedule with which a seed breaks a rule, and what the instances logged of the first request concerned. */
async function describeSeed (options: { instances: number, seed: number }): Promise<BenchReport> {
  for (const trouble of Object.values(FleetTrouble)) {
    const plan = createSeedPlan({ ...options, trouble })
    if (listBreaches(plan, await simulatePlan(plan, options)).length === 0) continue
    const shortest = await selectShortestPlan(plan, options)
    const breaches = listBreaches(shortest, await simulatePlan(shortest, options))
    const traceId = /attempt (a\d+)/.exec(breaches.join())?.[1]
    const { trace } = await simulatePlan(shortest, { ...options, ...traceId === undefined ? {} : { traceId } })
    const schedule = shortest.events.map(event => `${Math.round(event.atMs)} ms ${event.kind} ${event.link} ${[...event.instances, ...event.peers, ...event.targets].join(' ')}`)
    return { summary: `Seed ${options.seed} breaks a rule under the trouble ${trouble}.`, markdown: [...breaches, '', ...schedule, '', ...trace].join('\n'), hasFailed: true, isTrace: true }
  }
  return { summary: `Seed ${options.seed} breaks no rule at ${options.instances} instances.`, markdown: '', isTrace: true }
}
