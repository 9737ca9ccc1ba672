/**
 * The membership view of an instance: the other instances, their addresses, and which of them are live.
 *
 * @module
 */
import type { CrashReport, EndNotice, RateNotice, RecentTargetReports, SocketAddress } from '@bilberryworks/steering'

/** The part of a heartbeat that changes during a run. */
export interface HeartbeatUpdate {
  /** Name of the instance. */
  instance: string
  /** Start time of the process in Unix milliseconds, by which heartbeats of an earlier run are recognized. */
  startedAtMs: number
  /** Sequence number of the heartbeat, which increases within a run. */
  sequence: number
  /** Whether the instance accepts new requests. */
  isReady: boolean
  /** Version of the latest known change, by replicated table. */
  versions: Record<string, number>
  /** Slots that the requests of this instance take or wait for, by service. */
  demand: Record<string, number>
  /** What targets reported to the instance a short time ago; absent if nothing. */
  targetReports?: RecentTargetReports
  /** Requests under which targets ended; absent if there are none. */
  crashReports?: CrashReport[]
  /** Keys of the groups of targets to which the instance has no network path; absent if there are none. */
  unreached?: string[]
  /** Keys of the groups to which another instance has no path and with which this one has had contact since; absent if there are none, and in heartbeats of earlier versions. */
  reached?: string[]
}

/** Heartbeat with the addresses of the instance, sent at its start and whenever a peer asks for it. */
export interface PeerHeartbeat extends HeartbeatUpdate {
  /** Failure domain of the instance. */
  failureDomain: string
  /** Region of the instance. */
  region: string
  /** Address of the listener for callers, in the form `host:port`. */
  callers: string
  /** UDP address for heartbeats. */
  heartbeats: SocketAddress
  /** TCP address for calls of peers. */
  peers: SocketAddress
}

/** How an update was received. */
export enum UpdateResult {
  /** The sender's addresses in this run are not known. */
  Unknown = 'unknown',
  /** A later heartbeat of the sender was received before. */
  Outdated = 'outdated',
  /** The sender was live already. */
  Live = 'live',
  /** The update made the sender, or a new run of it, live. */
  BecameLive = 'became_live'
}

/** A known peer. */
export interface KnownPeer {
  /** Latest known heartbeat. */
  heartbeat: PeerHeartbeat
  /** Monotonic time of the last heartbeat received from the peer itself, in milliseconds; `-Infinity` if there is none. */
  lastHeartbeatAtMs: number
}

/** Membership view of the other instances. */
export interface PeerView {
  /** Records a heartbeat received from the peer itself, ignoring outdated ones; returns whether it made the peer, or a new run of it, live. */
  recordHeartbeat (heartbeat: PeerHeartbeat, nowMs: number): boolean
  /** Records an update received from the peer itself. */
  recordUpdate (update: HeartbeatUpdate, nowMs: number): UpdateResult
  /** Records a peer reported by another instance or by the store, which does not make it live and displaces no other. */
  addReported (heartbeat: PeerHeartbeat, nowMs: number): void
  /** Returns whether a peer of this name is known. */
  isKnown (instance: string): boolean
  /** Lists the known peers, live or not, except for those that have been evicted. */
  listKnown (): KnownPeer[]
  /** Evicts peers that have been silent for the eviction time, and lists the live ones. */
  listLive (nowMs: number): KnownPeer[]
  /** Returns whether a peer is live. */
  isLive (peer: KnownPeer, nowMs: number): boolean
  /** Records that the store or a seed has told which instances there are. */
  markComplete (): void
  /** Returns whether the peers that have been announced are known, as far as can be expected. */
  isComplete (nowMs: number): boolean
  /** Excludes a pause of this process from the time since each peer's last heartbeat, since the process did not read heartbeats during the pause. */
  discountPause (durationMs: number): void
  /** Returns the largest number of instances seen live at the same time, including this one. */
  getMaxLiveInstances (): number
}

/** Options of {@linkcode createPeerView}. */
export interface CreatePeerViewOptions {
  /** Name of this instance. */
  instance: string
  /** Returns the time without a heartbeat after which a peer is not live, in milliseconds. */
  getTimeoutMs: (heartbeat: PeerHeartbeat) => number
  /** Monotonic time at which this instance started, in milliseconds; 0 by default. */
  startedAtMs?: number
  /** Time after the start from which the known peers are taken for all, in milliseconds; 0 by default. */
  completionMs?: number
  /** Time without a heartbeat or newer report after which a peer is evicted, in milliseconds. */
  evictionMs: number
}

/** Parts of a heartbeat that are absent if there is nothing to say. */
type OptionalPart = 'targetReports' | 'crashReports' | 'unreached' | 'reached'

const maxPort = 65_535
/** Maximum number of known peers, above the instances of the largest deployment. */
export const maxKnownPeers = 600
/** Maximum number of entries in the lists of all known heartbeats together, a few hundred for each instance of the largest deployment. */
const maxKnownEntries = 200_000
/** Longest name in a heartbeat, in characters: that of a group of targets, of two names of the store with at most 200 bytes each. */
const maxNameLength = 512
/** Longest text of a heartbeat, in characters: the largest datagram. */
const maxHeartbeatLength = 65_507

/**
 * Creates a view without peers.
 *
 * @param options Name of the instance and time limits
 * @returns The view
 */
export function createPeerView (options: CreatePeerViewOptions): PeerView {
  const peers = new Map<string, KnownPeer & { updatedAtMs: number, entries: number }>()
  let knownEntries = 0
  const { startedAtMs = 0, completionMs = 0 } = options
  let maxLiveInstances = 1
  let isComplete = false
  const isLive = (peer: KnownPeer, nowMs: number): boolean => nowMs - peer.lastHeartbeatAtMs < options.getTimeoutMs(peer.heartbeat)
  const isNewer = (a: HeartbeatUpdate, b: HeartbeatUpdate): boolean => a.startedAtMs > b.startedAtMs || (a.startedAtMs === b.startedAtMs && a.sequence > b.sequence)

  /** Returns whether a heartbeat is of a run that began with an earlier time of day than the known run, as after a clock was set back. */
  function isLaterRun (heartbeat: HeartbeatUpdate, known: KnownPeer, nowMs: number): boolean {
    return heartbeat.startedAtMs !== known.heartbeat.startedAtMs && !isLive(known, nowMs)
  }

  function dropPeer (instance: string): void {
    knownEntries -= peers.get(instance)?.entries ?? 0
    peers.delete(instance)
  }

  /** Records a heartbeat, without its lists if those of all peers would have too many entries. */
  function recordPeer (heartbeat: PeerHeartbeat, lastHeartbeatAtMs: number, updatedAtMs: number): void {
    knownEntries -= peers.get(heartbeat.instance)?.entries ?? 0
    const entries = countEntries(heartbeat)
    const isTooLarge = knownEntries + entries > maxKnownEntries
    knownEntries += isTooLarge ? 0 : entries
    peers.set(heartbeat.instance, { heartbeat: isTooLarge ? dropLists(heartbeat) : heartbeat, lastHeartbeatAtMs, updatedAtMs, entries: isTooLarge ? 0 : entries })
  }

  /** Makes room for a peer that has sent a heartbeat by dropping the one that is not live and was heard least recently; returns whether there is room. */
  function releaseRoom (nowMs: number): boolean {
    if (peers.size < maxKnownPeers) return true
    let silent: KnownPeer | undefined
    for (const peer of peers.values()) {
      if (!isLive(peer, nowMs) && (silent === undefined || peer.lastHeartbeatAtMs < silent.lastHeartbeatAtMs)) silent = peer
    }
    if (silent !== undefined) dropPeer(silent.heartbeat.instance)
    return silent !== undefined
  }

  function recordLive (heartbeat: PeerHeartbeat, nowMs: number): boolean {
    const known = peers.get(heartbeat.instance)
    // A peer that has restarted knows nothing, so it counts as having become live although no heartbeat was missed.
    const wasLive = known !== undefined && isLive(known, nowMs) && known.heartbeat.startedAtMs === heartbeat.startedAtMs
    if (known === undefined && !releaseRoom(nowMs)) return false
    recordPeer(heartbeat, nowMs, nowMs)
    if (wasLive) return false
    const live = [...peers.values()].filter(peer => isLive(peer, nowMs)).length + 1
    maxLiveInstances = Math.max(maxLiveInstances, live)
    return true
  }

  return {
    recordHeartbeat (heartbeat, nowMs) {
      if (heartbeat.instance === options.instance) return false
      const known = peers.get(heartbeat.instance)
      const isOutdated = known !== undefined && known.lastHeartbeatAtMs > -Infinity && !isNewer(heartbeat, known.heartbeat) && !isLaterRun(heartbeat, known, nowMs)
      return isOutdated ? false : recordLive(heartbeat, nowMs)
    },
    recordUpdate (update, nowMs) {
      if (update.instance === options.instance) return UpdateResult.Outdated
      const known = peers.get(update.instance)
      if (known === undefined || update.startedAtMs > known.heartbeat.startedAtMs || isLaterRun(update, known, nowMs)) return UpdateResult.Unknown
      if (!isNewer(update, known.heartbeat)) return UpdateResult.Outdated
      return recordLive(mergeUpdate(known.heartbeat, update), nowMs) ? UpdateResult.BecameLive : UpdateResult.Live
    },
    addReported (heartbeat, nowMs) {
      if (heartbeat.instance === options.instance) return
      const known = peers.get(heartbeat.instance)
      if (known !== undefined && !isNewer(heartbeat, known.heartbeat)) return
      if (known === undefined && peers.size >= maxKnownPeers) return
      recordPeer(heartbeat, known?.lastHeartbeatAtMs ?? -Infinity, nowMs)
    },
    isKnown: instance => peers.has(instance),
    listKnown: () => [...peers.values()],
    listLive (nowMs) {
      for (const [name, peer] of peers) if (nowMs - Math.max(peer.lastHeartbeatAtMs, peer.updatedAtMs) > options.evictionMs) dropPeer(name)
      return [...peers.values()].filter(peer => isLive(peer, nowMs))
    },
    discountPause (durationMs) {
      for (const peer of peers.values()) peer.lastHeartbeatAtMs += durationMs
    },
    isLive,
    markComplete () { isComplete = true },
    isComplete: nowMs => isComplete || nowMs - startedAtMs >= completionMs,
    getMaxLiveInstances: () => maxLiveInstances
  }
}

/** Counts the entries in the lists of a heartbeat. */
function countEntries ({ versions, demand, targetReports, crashReports = [], unreached = [], reached = [] }: HeartbeatUpdate): number {
  const { leaving = {}, rates = {}, ended = {}, claims = [] } = targetReports ?? {}
  const records = [versions, demand, leaving, rates, ended].reduce((sum, record) => sum + Object.keys(record).length, 0)
  const runs = crashReports.reduce((sum, report) => sum + report.runs.length + report.cleared.length, 0)
  return records + claims.length + crashReports.length + runs + unreached.length + reached.length
}

function dropLists ({ targetReports, crashReports, unreached, reached, ...heartbeat }: PeerHeartbeat): PeerHeartbeat {
  return { ...heartbeat, versions: {}, demand: {} }
}

/** Replaces all that changes in a heartbeat; what the update lacks no longer holds. */
function mergeUpdate ({ targetReports, crashReports, unreached, reached, ...heartbeat }: PeerHeartbeat, update: HeartbeatUpdate): PeerHeartbeat {
  return { ...heartbeat, ...update }
}

/**
 * Formats an update for a datagram, without names of fields, since it is the most frequent message between
 * instances.
 *
 * @param update The update, or a heartbeat that contains it
 * @returns JSON text
 */
export function formatUpdate ({ instance, startedAtMs, sequence, isReady, versions, demand, targetReports, crashReports = [], unreached = [], reached = [] }: HeartbeatUpdate): string {
  const hasTargetReports = targetReports !== undefined && Object.values(targetReports).some(runs => Object.keys(runs).length > 0)
  const optional = [hasTargetReports ? targetReports : null, ...[crashReports, unreached, reached].map(list => list.length > 0 ? list : null)]
  while (optional.at(-1) === null) optional.pop()
  return JSON.stringify([instance, startedAtMs, sequence, isReady, versions, demand, ...optional])
}

/**
 * Parses an update from a datagram.
 *
 * @param text JSON text
 * @returns The update, or `undefined` if the text is not a valid one
 */
export function parseUpdate (text: string): HeartbeatUpdate | undefined {
  if (text.length > maxHeartbeatLength) return undefined
  const value = parseJson(text)
  if (!Array.isArray(value)) return undefined
  const [instance, startedAtMs, sequence, isReady, versions, demand, targetReports, crashReports, unreached, reached] = value as [string, number, number, boolean, Record<string, number>, Record<string, number>, ...unknown[]]
  const isValid = isName(instance) && typeof startedAtMs === 'number' && typeof sequence === 'number' && typeof isReady === 'boolean' && [versions, demand].every(isNumberRecord)
  if (!isValid) return undefined
  return { instance, startedAtMs, sequence, isReady, versions, demand, ...selectOptional({ targetReports, crashReports, unreached, reached }) }
}

/**
 * Parses a heartbeat from a datagram or a row of the store.
 *
 * @param text JSON text
 * @returns The heartbeat, or `undefined` if the text is not a valid one
 */
export function parseHeartbeat (text: string): PeerHeartbeat | undefined {
  if (text.length > maxHeartbeatLength) return undefined
  const value = parseJson(text) as PeerHeartbeat | undefined
  if (!isPeerHeartbeat(value)) return undefined
  const { instance, startedAtMs, sequence, isReady, versions, demand, failureDomain, region, callers, heartbeats, peers, asksForHeartbeat, targetReports, crashReports, unreached, reached } = value as PeerHeartbeat & { asksForHeartbeat?: boolean }
  return {
    instance,
    startedAtMs,
    sequence,
    isReady,
    versions,
    demand,
    failureDomain,
    region,
    callers,
    heartbeats: { host: heartbeats.host, port: heartbeats.port },
    peers: { host: peers.host, port: peers.port },
    ...asksForHeartbeat === true ? { asksForHeartbeat } : {},
    ...selectOptional({ targetReports, crashReports, unreached, reached })
  }
}

/**
 * Parses the heartbeats that another instance reports.
 *
 * @param values The heartbeats, as received
 * @returns Those that are valid
 */
export function parseReported (values: unknown[]): PeerHeartbeat[] {
  return values.map(value => parseHeartbeat(JSON.stringify(value))).filter(heartbeat => heartbeat !== undefined)
}

/** Returns whether a value that was received has the required fields of a heartbeat, with ports that can be used. */
function isPeerHeartbeat (value: PeerHeartbeat | undefined): value is PeerHeartbeat {
  return isName(value?.instance) && [value.startedAtMs, value.sequence].every(each => typeof each === 'number') && typeof value.isReady === 'boolean' && [value.failureDomain, value.region, value.callers].every(isName) && [value.heartbeats, value.peers].every(isSocketAddress) && isNumberRecord(value.versions) && isNumberRecord(value.demand)
}

function isName (value: unknown): value is string {
  return typeof value === 'string' && value.length <= maxNameLength
}

function isSocketAddress (value: SocketAddress | undefined): boolean {
  return isName(value?.host) && Number.isInteger(value.port) && value.port > 0 && value.port <= maxPort
}

/** Returns those of the optional parts of a heartbeat that are valid. */
function selectOptional ({ targetReports, crashReports, unreached, reached }: Record<OptionalPart, unknown>): Pick<HeartbeatUpdate, OptionalPart> {
  return {
    ...isTargetReports(targetReports) ? { targetReports: copyTargetReports(targetReports) } : {},
    ...Array.isArray(crashReports) && crashReports.every(isCrashReport) ? { crashReports: crashReports.map(({ fingerprint, runs, cleared, ageMs }) => ({ fingerprint, runs, cleared, ageMs })) } : {},
    ...isTextList(unreached) ? { unreached } : {},
    ...isTextList(reached) ? { reached } : {}
  }
}

/** Copies reports without fields that are not known, which would be retained. */
function copyTargetReports ({ leaving, rates, ended, claims }: RecentTargetReports): RecentTargetReports {
  return {
    leaving,
    rates: mapRecord(rates, ({ startedAtMs, perSecond, ageMs }) => ({ startedAtMs, perSecond, ageMs })),
    ...ended === undefined ? {} : { ended: mapRecord(ended, ({ startedAtMs, ageMs }) => ({ startedAtMs, ageMs })) },
    claims
  }
}

function mapRecord<T> (record: Record<string, T>, copy: (value: T) => T): Record<string, T> {
  return Object.fromEntries(Object.entries(record).map(([name, value]) => [name, copy(value)]))
}

function isTextList (value: unknown): value is string[] {
  return Array.isArray(value) && value.every(isName)
}

function isCrashReport (value: unknown): value is CrashReport {
  if (typeof value !== 'object' || value === null) return false
  const { fingerprint, runs, cleared, ageMs } = value as CrashReport
  return isName(fingerprint) && typeof ageMs === 'number' && [runs, cleared].every(isTextList)
}

function isTargetReports (value: unknown): value is RecentTargetReports {
  if (typeof value !== 'object' || value === null) return false
  const { leaving, rates, claims, ended = {} } = value as RecentTargetReports
  return isTextList(claims) && isNoticeRecord(ended, isEndNotice) && isNumberRecord(leaving) && isNoticeRecord(rates, isRateNotice)
}

function isNoticeRecord<T extends object> (value: unknown, isNotice: (notice: Partial<T>) => boolean): boolean {
  return typeof value === 'object' && value !== null && Object.entries(value).every(([name, notice]) => isName(name) && typeof notice === 'object' && notice !== null && isNotice(notice as Partial<T>))
}

function isEndNotice ({ startedAtMs, ageMs }: Partial<EndNotice>): boolean {
  return [startedAtMs, ageMs].every(each => typeof each === 'number')
}

function isRateNotice ({ startedAtMs, perSecond, ageMs }: Partial<RateNotice>): boolean {
  return [startedAtMs, ageMs].every(each => typeof each === 'number') && (perSecond === null || typeof perSecond === 'number')
}

function isNumberRecord (value: unknown): boolean {
  return typeof value === 'object' && value !== null && Object.entries(value).every(([name, each]) => isName(name) && typeof each === 'number')
}

/** Parses JSON; `undefined` if the text is invalid, which is reported like any other invalid message. */
function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
