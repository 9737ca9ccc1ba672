/**
 * Gossip between instances: each exchange compares digests of the two cluster views and fetches the differences.
 *
 * @module
 */
import type { PeerClient, PeerMethod } from '@bilberryworks/instances'
import type { InstanceRecord } from '@bilberryworks/steering'
import type { GossipMessage, GossipReply, FetchMessage, FetchReply, HeartbeatNote, ViewDigests } from './gossip_messages.ts'
import type { ClusterView } from './cluster_view.ts'
import { createHash } from 'node:crypto'
import { compareAnnouncements } from '@bilberryworks/steering'
import { PeerMethodName } from './gossip_messages.ts'

// Maximum entries per gossip message (heartbeats, self-reports) and per fetch message (documents, shifts, instances); characters of a digest.
const maxHeartbeats = 32
const maxSelfReports = 64
const maxDocuments = 16
const maxShifts = 64
const maxInstances = 32
const digestLength = 16

/** Options of {@linkcode createGossip}. */
export interface CreateGossipOptions {
  /** The instance's view of the cluster. */
  view: ClusterView
  /** Client that calls the other instances. */
  peers: PeerClient
  /** Returns the instance record of this instance, with the next sequence number. */
  createInstanceRecord: () => InstanceRecord
  /** Merges an instance record; the age is in milliseconds. */
  mergeInstance: (record: InstanceRecord, ageMs: number) => void
  /** Whether this instance has loaded all service documents since its start. */
  isReady: () => boolean
  /** Minimum time by which a peer's list of targets must be newer than this instance's list to replace it, in milliseconds. */
  targetsSlackMs: number
}

/** Result of a gossip exchange. */
export interface ExchangeResult {
  /** Whether the peer replied. */
  hasReplied: boolean
  /** Whether the peer is ready and everything newer that it has was fetched. */
  isComplete: boolean
}

/** The gossip protocol of one instance. */
export interface Gossip {
  /** Runs an exchange with a peer and fetches the data of which the peer has a newer version. */
  exchangeWith (address: string, options?: { isFollowUp?: boolean }): Promise<ExchangeResult>
  /** Handles an exchange that a peer started. */
  handleExchange: PeerMethod
  /** Handles a fetch by a peer. */
  handleFetch: PeerMethod
}

const failedExchange: ExchangeResult = { hasReplied: false, isComplete: false }

/**
 * Creates the gossip protocol of an instance.
 *
 * @param options The instance's view and the client for its peers
 * @returns The protocol's client side and handlers
 */
export function createGossip (options: CreateGossipOptions): Gossip {
  const { view, peers } = options

  function createMessage (): GossipMessage {
    const self = options.createInstanceRecord()
    view.mergeInstance(self)
    const peerInstances = view.listInstancesWithAge().filter(({ record }) => record.instance !== self.instance)
    const targetsAgeMs = view.getTargetsAgeMs()
    return {
      self,
      ready: options.isReady(),
      digests: computeDigests(view),
      heartbeats: peerInstances.slice(0, maxHeartbeats).map(({ record, ageMs }) => createHeartbeatNote(record, ageMs)),
      words: view.listTargetSelfReports().slice(0, maxSelfReports),
      ...Number.isFinite(targetsAgeMs) ? { targetsAgeMs: Math.round(targetsAgeMs) } : {}
    }
  }

  /** Merges the contents of a message; returns the names of instances whose instance record has to be fetched. */
  function applyMessage (message: GossipMessage): string[] {
    options.mergeInstance(message.self, 0)
    message.words.forEach(view.mergeTargetSelfReport)
    const missing: string[] = []
    for (const { ageMs, ...note } of message.heartbeats) {
      const known = view.getInstance(note.instance)
      if (known?.incarnation === note.incarnation) options.mergeInstance({ ...known, ...note }, ageMs)
      else if (known === undefined || compareAnnouncements(note, known) > 0) missing.push(note.instance)
    }
    return missing
  }

  function createFetchMessage (reply: GossipReply, missing: string[]): FetchMessage {
    const listNewer = (peerVersions: Record<string, number> = {}, ownVersions: Record<string, number>): string[] => {
      return Object.keys(peerVersions).filter(service => (peerVersions[service] ?? 0) > (ownVersions[service] ?? 0))
    }
    const { targetsAgeMs = Infinity } = reply
    const isNewer = targetsAgeMs + options.targetsSlackMs < view.getTargetsAgeMs()
    const areTargetsDifferent = reply.digests.targets !== computeDigests(view).targets
    // The lists are equal, so the newer age is adopted without a fetch.
    if (isNewer && !areTargetsDifferent) view.mergeTargets(view.listPlatformTargets(), targetsAgeMs)
    return {
      documents: listNewer(reply.revisions, view.getDocumentRevisions()),
      shifts: listNewer(reply.steps, view.getShiftSteps()),
      instances: missing,
      targets: isNewer && areTargetsDifferent
    }
  }

  /** Fetches data in batches of bounded size; resolves to whether all of it was fetched. */
  async function fetchMissing (address: string, wanted: FetchMessage): Promise<boolean> {
    const batch = {
      documents: wanted.documents.slice(0, maxDocuments),
      shifts: wanted.shifts.slice(0, maxShifts),
      instances: wanted.instances.slice(0, maxInstances),
      targets: wanted.targets
    }
    if (countFetchItems(batch) === 0) return true
    const reply = await peers.call<FetchReply>(address, PeerMethodName.Fetch, { params: batch })
    if (reply.isErr()) return false
    reply.value.documents.forEach(view.mergeDocument)
    reply.value.shifts.forEach(view.mergeShift)
    reply.value.instances.forEach(({ record, ageMs }) => options.mergeInstance(record, ageMs))
    const { targets } = reply.value
    if (targets !== undefined) view.mergeTargets(targets.records, targets.ageMs)
    return fetchMissing(address, {
      documents: wanted.documents.slice(maxDocuments),
      shifts: wanted.shifts.slice(maxShifts),
      instances: wanted.instances.slice(maxInstances),
      targets: false
    })
  }

  async function exchangeWith (address: string, { isFollowUp = false } = {}): Promise<ExchangeResult> {
    const params: GossipMessage = isFollowUp ? { ...createMessage(), isFollowUp } : createMessage()
    const reply = await peers.call<GossipReply>(address, PeerMethodName.Exchange, { params })
    if (reply.isErr()) return failedExchange
    const missing = applyMessage(reply.value)
    const isFetched = await fetchMissing(address, createFetchMessage(reply.value, missing))
    return { hasReplied: true, isComplete: isFetched && reply.value.ready }
  }

  return {
    exchangeWith,
    handleExchange (params) {
      const message = params as GossipMessage
      applyMessage(message)
      const reply: GossipReply = createMessage()
      const { documents, shifts } = reply.digests
      const hasDifference = documents !== message.digests.documents || shifts !== message.digests.shifts
      if (documents !== message.digests.documents) reply.revisions = view.getDocumentRevisions()
      if (shifts !== message.digests.shifts) reply.steps = view.getShiftSteps()
      if (hasDifference && message.isFollowUp !== true) exchangeWith(message.self.peerAddress, { isFollowUp: true }).catch(() => {})
      return reply
    },
    handleFetch (params): FetchReply {
      const wanted = params as FetchMessage
      const knownInstances = new Map(view.listInstancesWithAge().map(entry => [entry.record.instance, entry]))
      const reply: FetchReply = {
        documents: wanted.documents.flatMap(service => view.getDocument(service) ?? []),
        shifts: wanted.shifts.flatMap(service => view.getShift(service) ?? []),
        instances: wanted.instances.flatMap(instance => knownInstances.get(instance) ?? [])
      }
      if (wanted.targets) reply.targets = { records: view.listPlatformTargets(), ageMs: view.getTargetsAgeMs() }
      return reply
    }
  }
}

function countFetchItems (wanted: FetchMessage): number {
  return wanted.documents.length + wanted.shifts.length + wanted.instances.length + Number(wanted.targets)
}

function createHeartbeatNote ({ instance, incarnation, start, sequence, state, pinEpoch }: InstanceRecord, ageMs: number): HeartbeatNote {
  return { instance, incarnation, start: start ?? 0, sequence, state, pinEpoch, ageMs: Math.round(ageMs) }
}

function computeDigests (view: ClusterView): ViewDigests {
  return {
    documents: computeDigest(Object.entries(view.getDocumentRevisions()).map(([service, revision]) => `${service} ${revision}`)),
    shifts: computeDigest(Object.entries(view.getShiftSteps()).map(([service, step]) => `${service} ${step}`)),
    targets: computeDigest(view.listPlatformTargets().map(record => `${record.target} ${record.address} ${record.state}`))
  }
}

function computeDigest (lines: string[]): string {
  return createHash('sha256').update(lines.sort().join('\n')).digest('base64url').slice(0, digestLength)
}
