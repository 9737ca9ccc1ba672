/**
 * Tracks the load of the owners that this instance forwards requests to: the requests that it forwarded itself, and
 * the loads that the owners report.
 *
 * @module
 */
import type { OwnerState, SlotLoad, InstanceRecord, RegionReport } from '@bilberryworks/steering'

/** Header with which an owner reports its load in each response and refusal to a forwarded request. */
export const slotLoadHeader = 'bilberry-feed-load'

const loadPattern = /^(\d{1,6}),(\d{1,6}),(\d{1,6})$/
/** Age up to which a reported number of slots is used, in milliseconds. */
const maxSlotsAgeMs = 1_000

/** An owner and the slots assigned to it by the ownership rows. */
export interface OwnerCapacity {
  /** Record of the owner. */
  record: InstanceRecord
  /** Slots that it owns for the service in the region. */
  slots: number
}

/** Options of {@linkcode createOwnerLoads}. */
export interface CreateOwnerLoadsOptions {
  /** Name of this instance. */
  instance: string
  /** Failure domain of this instance. */
  failureDomain: string
  /** Returns this instance's own slots and requests for a service. */
  getOwnLoad: (service: string) => SlotLoad
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Tracks the loads of owners. */
export interface OwnerLoads {
  /** Counts a request forwarded to an owner as in flight. The returned function ends the count; further calls of it do nothing. */
  start (service: string, owner: string): () => void
  /** Records a load from the header value that an owner sent. Ignores a missing or malformed value. */
  record (service: string, owner: string, header: string | undefined): void
  /** Returns the state of each candidate for the choice of owner. All candidates must be in one region. */
  describeOwners (service: string, candidates: OwnerCapacity[]): OwnerState[]
  /** Sums the last reports of owners, with the age of the oldest; `undefined` unless each owner has reported. */
  sumReports (service: string, owners: string[]): RegionReport | undefined
}

/** Load of one owner for one service. */
interface KnownOwner {
  ownInFlight: number
  load: SlotLoad | undefined
  reportedAtMs: number
}

/**
 * Creates a tracker without any report.
 *
 * @param options This instance, its own load and the clock
 * @returns The tracker
 */
export function createOwnerLoads (options: CreateOwnerLoadsOptions): OwnerLoads {
  const { getNowMs } = options
  const owners = new Map<string, KnownOwner>()

  function getOwner (service: string, owner: string): KnownOwner {
    const key = `${service}\u0000${owner}`
    const entry = owners.get(key) ?? { ownInFlight: 0, load: undefined, reportedAtMs: 0 }
    owners.set(key, entry)
    return entry
  }

  function describeOwner (service: string, { record, slots }: OwnerCapacity): OwnerState {
    const isLocal = record.instance === options.instance
    const entry = getOwner(service, record.instance)
    const load = isLocal ? options.getOwnLoad(service) : entry.load
    const reportAgeMs = isLocal ? 0 : getNowMs() - entry.reportedAtMs
    return {
      instance: record.instance,
      slots: load !== undefined && reportAgeMs < maxSlotsAgeMs ? Math.min(slots, load.slots) : slots,
      forwardedInFlight: entry.ownInFlight,
      reportedLoad: load === undefined ? undefined : load.busy + load.queued,
      reportAgeMs,
      isLocal,
      isInSameFailureDomain: record.failureDomain === options.failureDomain
    }
  }

  return {
    start (service, owner) {
      const entry = getOwner(service, owner)
      let isRunning = true
      entry.ownInFlight++
      return () => {
        if (isRunning) entry.ownInFlight--
        isRunning = false
      }
    },
    record (service, owner, header) {
      const load = parseSlotLoad(header ?? '')
      if (load !== undefined) Object.assign(getOwner(service, owner), { load, reportedAtMs: getNowMs() })
    },
    sumReports (service, owners) {
      if (owners.length === 0) return undefined
      const sum: RegionReport = { slots: 0, busy: 0, ageMs: 0 }
      for (const owner of owners) {
        const isLocal = owner === options.instance
        const { load, reportedAtMs } = getOwner(service, owner)
        const reported = isLocal ? options.getOwnLoad(service) : load
        if (reported === undefined) return undefined
        sum.slots += reported.slots
        sum.busy += reported.busy
        if (!isLocal) sum.ageMs = Math.max(sum.ageMs, getNowMs() - reportedAtMs)
      }
      return sum
    },
    describeOwners: (service, candidates) => candidates.map(candidate => describeOwner(service, candidate))
  }
}

/**
 * Formats a load as the value of {@linkcode slotLoadHeader}.
 *
 * @param load The load
 * @returns The numbers of slots, busy slots and queued requests, joined by commas
 */
export function formatSlotLoad (load: SlotLoad): string {
  return `${load.slots},${load.busy},${load.queued}`
}

/**
 * Parses the value of {@linkcode slotLoadHeader}.
 *
 * @param text The value
 * @returns The load, or `undefined` if the text is malformed
 */
export function parseSlotLoad (text: string): SlotLoad | undefined {
  const match = loadPattern.exec(text)
  return match === null ? undefined : { slots: Number(match[1]), busy: Number(match[2]), queued: Number(match[3]) }
}
