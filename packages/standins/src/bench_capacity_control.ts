/**
 * Measures the control traffic of each instance, and the time that a fleet of instances takes to be up to date again after a failure.
 *
 * @module
 */
import type { ServiceDocument } from '@bilberryworks/steering'
import type { AddTable } from './bench_capacity_report.ts'
import type { Fleet, FleetNode } from './bench_capacity_fleet.ts'
import { setTimeout } from 'node:timers/promises'
import { writeAcceptedDocument } from './accept_document.ts'
import { createFleet, pollsPerHeartbeat } from './bench_capacity_fleet.ts'
import { createRandom } from './bench_clock.ts'
import { createDocument, deployments } from './deployments.ts'

const defaultPollMs = 2_000
const measuredPolls = pollsPerHeartbeat
const defaultWaitLimitPolls = 20
const startBatchSize = 4
const checkIntervalMs = 20
const pauseToCheckRatio = 20
const replacedShare = 0.1
const missedChanges = 50
const randomSeed = 5

/** Size of a fleet. */
export interface FleetSize {
  /** Number of instances. */
  nodes: number
  /** Number of services. */
  services: number
  /** Number of targets. */
  targets: number
  /** Interval between polls of the platform, in milliseconds; 2 s by default. */
  pollMs?: number
  /** Longest wait for the fleet to be up to date, in poll intervals; 20 by default. */
  waitLimitPolls?: number
}

/** Sizes at which control traffic is measured, with instances, services and targets varied one at a time. */
export const fleetSizes: FleetSize[] = [
  { nodes: 50, services: 10, targets: 100 },
  { nodes: 100, services: 10, targets: 100 },
  { nodes: 200, services: 10, targets: 100 },
  { nodes: 550, services: 10, targets: 100, pollMs: 5_000 },
  { nodes: 100, services: 50, targets: 100 },
  { nodes: 100, services: 10, targets: 500 }
]

/** Measures bytes, platform calls and rows for each instance and poll, at each size of a fleet. */
export async function measureControl (addTable: AddTable, sizes = fleetSizes): Promise<void> {
  const rows = []
  for (const size of sizes) {
    await using fleet = await startFleet(size)
    await setTimeout(fleet.pollMs * pollsPerHeartbeat)
    fleet.resetCounts()
    await setTimeout(fleet.pollMs * measuredPolls)
    const counts = { ...fleet.counts }
    const computePerNodeAndPoll = (value: number): number => Math.round(value / size.nodes / measuredPolls * 100) / 100
    const { nodes, services, targets } = size
    rows.push({
      nodes,
      services,
      targets,
      exchangeBytes: computePerNodeAndPoll(counts.gossipBytes),
      indexBytes: computePerNodeAndPoll(counts.indexBytes),
      instanceRowBytes: computePerNodeAndPoll(counts.instanceRowBytes),
      machineBytes: computePerNodeAndPoll(counts.machineBytes),
      otherBytes: computePerNodeAndPoll(counts.otherBytes),
      calls: computePerNodeAndPoll(counts.reads),
      rowsRead: computePerNodeAndPoll(counts.rowsRead),
      writes: computePerNodeAndPoll(counts.writes)
    })
  }
  addTable('Control traffic of fleets in one process, for each node and poll', rows)
}

/** Recovery of a fleet from one event. */
export interface RecoveryFigures {
  /** Name of the event. */
  name: string
  /** Number of instances that had to recover. */
  recovering: number
  /** Time from the event until the last of these instances was up to date, in poll intervals; infinite if the wait limit passed first. */
  polls: number
  /** Number of gossip calls of the fleet. */
  exchanges: number
  /** Size of the gossip calls and their replies, in kilobytes. */
  exchangeKilobytes: number
  /** Size of documents and other rows that were read or written, except index and instance rows, in kilobytes. */
  documentKilobytes: number
  /** Number of reads from the platform. */
  reads: number
  /** Number of writes to the platform. */
  writes: number
}

/** Measures the duration, bytes and platform calls of each recovery of a fleet. */
export async function measureRecoveries (size: FleetSize, addTable: AddTable): Promise<void> {
  addTable(`Recovery of a fleet of ${size.nodes} nodes with ${size.services} services`, await runRecoveries(size))
}

/**
 * Starts a fleet and measures its recovery from a document change, from replaced instances, from a network partition and from a platform outage, one after the other.
 *
 * @param size Size of the fleet, with at least ten services
 * @returns The measurements of each recovery
 */
export async function runRecoveries (size: FleetSize): Promise<RecoveryFigures[]> {
  await using fleet = await startFleet(size)
  await setTimeout(fleet.pollMs * pollsPerHeartbeat)
  return [
    await measureRecovery(fleet, { name: 'one document change reaches all instances', recover: measureChange }),
    await measureRecovery(fleet, { name: 'one in ten instances replaced simultaneously', recover: measureReplacement }),
    await measureRecovery(fleet, { name: `a partitioned failure domain rejoins after ${missedChanges} missed changes`, recover: measureDomainRejoin }),
    await measureRecovery(fleet, { name: 'an instance starts during a platform outage', recover: measureStartInOutage })
  ]
}

interface Recovery {
  /** Number of instances that had to recover. */
  recovering: number
  /** Time from the event until the last of these instances was up to date, in poll intervals; infinite if the wait limit passed first. */
  polls: number
}

async function measureRecovery (fleet: Fleet, { name, recover }: { name: string, recover: (fleet: Fleet) => Promise<Recovery> }): Promise<RecoveryFigures> {
  fleet.resetCounts()
  const { recovering, polls } = await recover(fleet)
  const { gossipBytes: exchangeBytes, gossipCalls: exchanges, otherBytes, reads, writes } = fleet.counts
  return { name, recovering, polls: Math.round(polls * 100) / 100, exchanges, exchangeKilobytes: Math.round(exchangeBytes / 1000), documentKilobytes: Math.round(otherBytes / 1000), reads, writes }
}

async function measureChange (fleet: Fleet): Promise<Recovery> {
  await writeAcceptedDocument(fleet.platform, createServiceDocument(0), { revision: 2 })
  return { recovering: fleet.nodes.size, polls: await countPollsUntil(fleet, () => [...fleet.nodes.values()].every(node => getRevision(node, 0) === 2)) }
}

async function measureReplacement (fleet: Fleet): Promise<Recovery> {
  const replacedNodes = [...fleet.nodes.values()].filter((_, index) => index % (1 / replacedShare) === 0)
  await Promise.all(replacedNodes.map(node => node[Symbol.asyncDispose]()))
  fleet.resetCounts()
  const startedNodes = replacedNodes.map(node => fleet.start(Number(node.name.slice('node-'.length)), { incarnation: 2 }))
  const isKnown = (node: FleetNode): boolean => startedNodes.every(other => node.view.getInstance(other.name)?.incarnation === other.incarnation)
  return { recovering: startedNodes.length, polls: await countPollsUntil(fleet, () => startedNodes.every(node => node.sync.isReady()) && [...fleet.nodes.values()].every(isKnown)) }
}

async function measureDomainRejoin (fleet: Fleet): Promise<Recovery> {
  const domain = 'site-3'
  fleet.isPartitioned = (from, to) => (from === domain) !== (to === domain)
  for (let change = 0; change < missedChanges; change++) {
    const service = 1 + change % 9
    await writeAcceptedDocument(fleet.platform, createServiceDocument(service), { revision: 2 + Math.floor(change / 9) })
  }
  await setTimeout(fleet.pollMs * pollsPerHeartbeat)
  const latestRevisions = new Map(Array.from({ length: 9 }, (_, index) => [index + 1, Math.max(...[...fleet.nodes.values()].map(node => getRevision(node, index + 1)))]))
  const domainNodes = [...fleet.nodes.values()].filter(node => node.failureDomain === domain)
  fleet.resetCounts()
  fleet.isPartitioned = () => false
  const isCurrent = (node: FleetNode): boolean => [...latestRevisions].every(([service, revision]) => getRevision(node, service) === revision)
  if (domainNodes.some(isCurrent)) throw new Error('Partition had no effect: an instance in the partitioned failure domain has the latest revisions')
  return { recovering: domainNodes.length, polls: await countPollsUntil(fleet, () => domainNodes.every(isCurrent)) }
}

async function measureStartInOutage (fleet: Fleet): Promise<Recovery> {
  fleet.isPartitioned = (_from, to) => to === ''
  fleet.resetCounts()
  const node = fleet.start(fleet.nodes.size, { incarnation: 1, seedPeers: ['node-0', 'node-1'] })
  const isCurrent = (): boolean => node.sync.isReady() && getRevision(node, 0) === 2
  const polls = await countPollsUntil(fleet, isCurrent)
  return { recovering: 1, polls }
}

async function startFleet (size: FleetSize): Promise<Fleet> {
  const fleet = createFleet({ targets: size.targets, pollMs: size.pollMs ?? defaultPollMs, waitLimitPolls: size.waitLimitPolls ?? defaultWaitLimitPolls, getRandom: createRandom(randomSeed) })
  for (let service = 0; service < size.services; service++) await writeAcceptedDocument(fleet.platform, createServiceDocument(service))
  for (let index = 0; index < size.nodes; index++) {
    fleet.start(index, { incarnation: 1 })
    if (index % startBatchSize === 0) await setTimeout(checkIntervalMs)
  }
  const polls = await countPollsUntil(fleet, () => [...fleet.nodes.values()].every(node => node.sync.isReady() && node.view.listInstances().length === size.nodes))
  if (polls === Infinity) console.log(`Fleet of ${size.nodes} instances did not become ready within ${fleet.waitLimitPolls} poll intervals`)
  return fleet
}

function createServiceDocument (index: number): ServiceDocument {
  return { ...createDocument(deployments.kutiyka, deployments.kutiyka.services[0]), service: `service-${index}` }
}

function getRevision (node: FleetNode, service: number): number {
  return node.view.getDocument(`service-${service}`)?.revision ?? 0
}

/** Waits for a condition. Returns the time that it took, in poll intervals, or `Infinity` if the wait limit passed first. Pauses between the checks keep their share of processor time small. */
async function countPollsUntil (fleet: Fleet, isDone: () => boolean): Promise<number> {
  const startMs = performance.now()
  for (;;) {
    const checkStartMs = performance.now()
    if (isDone()) return (checkStartMs - startMs) / fleet.pollMs
    if (checkStartMs - startMs > fleet.waitLimitPolls * fleet.pollMs) return Infinity
    await setTimeout(Math.max(checkIntervalMs, (performance.now() - checkStartMs) * pauseToCheckRatio))
  }
}
