/**
 * Keeps the view current: polls the platform, writes heartbeats, asks peers.
 *
 * @module
 */
import type { PeerClient, PeerMethod } from '@bilberryworks/instances'
import type { IndexRow, MachineList, Platform } from '@bilberryworks/platform'
import type { AcceptedDocument, InstanceRecord, TargetRecord } from '@bilberryworks/steering'
import type { View } from './view.ts'
import { readIndex, TableName } from '@bilberryworks/platform'
import { startLoop } from './loop.ts'

const peersPerRound = 2

/** What one instance tells another in an exchange. */
export interface ExchangeMessage {
  /** Revisions in force at the sender. */
  revisions: Record<string, number>
  /** Instances that the sender has heard of. */
  instances: InstanceRecord[]
}

/** The answer to an exchange. */
export interface ExchangeReply extends ExchangeMessage {
  /** Documents that are newer than the asker's. */
  documents: AcceptedDocument[]
  /** Targets that the answerer knows. */
  targets: TargetRecord[]
}

/** Options of {@linkcode createSync}. */
export interface CreateSyncOptions {
  /** What the instance knows. */
  view: View
  /** The platform. */
  platform: Platform
  /** The other instances. */
  peers: PeerClient
  /** Returns this instance's announcement, with its next sequence number. */
  createAnnouncement: () => InstanceRecord
  /** `host:port` of peers to ask before any other is known. */
  seedPeers: string[]
  /** Time between two polls, in milliseconds. */
  pollMs: number
  /** Time between two heartbeats, in milliseconds. */
  heartbeatMs: number
  /** Returns a random number from 0 to 1. */
  getRandom: () => number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Called with the time at which a heartbeat was sent that the platform acknowledged. */
  recordHeartbeat: (sentAtMs: number) => void
  /** Called with each list of machines. */
  recordMachines: (list: MachineList) => void
  /** Called with each index row, to fetch the feed rows that changed. */
  refreshFeeds: (index: IndexRow) => Promise<void>
  /** Called when the platform starts or stops answering. */
  recordPlatform: (reachable: boolean) => void
}

/** The loops that keep a view current. */
export interface Sync extends AsyncDisposable {
  /** Whether the documents have been learnt since the start, from the platform or a peer. */
  isReady (): boolean
  /** Milliseconds since the platform last answered. */
  getPlatformAgeMs (): number
  /** Announces the instance at once, for instance that it is leaving. */
  announce (): Promise<void>
  /** Polls the platform at once. */
  refresh (): Promise<void>
  /** Answers a peer's exchange. */
  handleExchange: PeerMethod
}

/**
 * Creates the loops and starts them.
 *
 * @param options What to read from and to write to
 * @returns The loops; dispose them to stop
 */
export function createSync (options: CreateSyncOptions): Sync {
  const { view, platform, peers } = options
  let ready = false
  let reachable = false
  let lastPlatformMs = options.getNowMs()
  const loops = [
    startLoop(pollPlatform, { intervalMs: options.pollMs, getRandom: options.getRandom }),
    startLoop(askPeers, { intervalMs: options.pollMs, getRandom: options.getRandom }),
    startLoop(announce, { intervalMs: options.heartbeatMs, getRandom: options.getRandom })
  ]

  function recordPlatform (answered: boolean): void {
    if (answered) lastPlatformMs = options.getNowMs()
    if (answered !== reachable) options.recordPlatform(answered)
    reachable = answered
  }

  async function pollPlatform (): Promise<void> {
    const index = await readIndex(platform)
    recordPlatform(index.isOk())
    if (index.isErr()) return
    const { revisions } = index.value.index
    await options.refreshFeeds(index.value.index)
    const known = view.getRevisions()
    for (const [service, revision] of Object.entries(revisions)) {
      if (revision <= (known[service] ?? 0)) continue
      const row = await platform.readRow(TableName.Documents, service)
      if (row.isErr()) return
      if (row.value !== undefined) view.mergeDocument(row.value.value as AcceptedDocument)
    }
    const machines = await platform.listMachines()
    if (machines.isOk()) {
      view.mergeMachines(machines.value)
      options.recordMachines(machines.value)
    }
    const rows = await platform.listRows(TableName.Instances, '')
    if (rows.isOk()) rows.value.forEach(row => view.mergeInstance(row.value as InstanceRecord))
    ready ||= machines.isOk()
  }

  async function askPeers (): Promise<void> {
    const self = options.createAnnouncement()
    const known = view.listInstances().filter(record => record.instance !== self.instance).map(record => record.peerAddress)
    const addresses = [...new Set([...known, ...options.seedPeers])].filter(address => address !== self.peerAddress)
    for (let count = 0; count < peersPerRound && addresses.length > 0; count++) {
      const index = Math.floor(options.getRandom() * addresses.length)
      const [address = ''] = addresses.splice(index, 1)
      await exchangeWith(address, self)
    }
  }

  async function exchangeWith (address: string, self: InstanceRecord): Promise<void> {
    const message: ExchangeMessage = { revisions: view.getRevisions(), instances: [self, ...view.listInstances()] }
    const reply = await peers.call<ExchangeReply>(address, 'exchange', { params: message })
    if (reply.isErr()) return
    reply.value.documents.forEach(accepted => view.mergeDocument(accepted))
    reply.value.instances.forEach(record => view.mergeInstance(record))
    if (view.listAllTargets().length === 0) view.mergeMachines({ instances: [], targets: reply.value.targets })
    ready ||= reply.value.documents.length > 0
  }

  async function announce (): Promise<void> {
    const record = options.createAnnouncement()
    view.mergeInstance(record)
    const sentAtMs = options.getNowMs()
    const written = await platform.writeRows([{ table: TableName.Instances, key: record.instance, value: record }])
    if (written.isOk()) options.recordHeartbeat(sentAtMs)
  }

  return {
    isReady: () => ready,
    getPlatformAgeMs: () => options.getNowMs() - lastPlatformMs,
    async announce () {
      await Promise.all([announce(), askPeers()])
    },
    refresh: pollPlatform,
    handleExchange (params) {
      const message = params as ExchangeMessage
      message.instances.forEach(record => view.mergeInstance(record))
      const documents = view.listDocuments().filter(accepted => accepted.revision > (message.revisions[accepted.document.service] ?? 0))
      return { revisions: view.getRevisions(), instances: view.listInstances(), documents, targets: view.listAllTargets() }
    },
    async [Symbol.asyncDispose] () {
      await Promise.all(loops.map(loop => loop[Symbol.asyncDispose]()))
    }
  }
}
