/**
 * What this instance knows of the load of the feeders that it forwards to: its own requests and what they report.
 *
 * @module
 */
import type { OwnerState, SlotLoad, InstanceRecord, RegionReport } from '@bilberryworks/steering'

/** Header by which a feeder reports its load to the instance that forwarded a request, with each answer and refusal. */
export const slotLoadHeader = 'bilberry-feed-load'

const loadPattern = /^(\d{1,6}),(\d{1,6}),(\d{1,6})$/
/** Age up to which the reported number of slots is believed, in milliseconds. */
const slotsLifetimeMs = 1_000

/** A feeder with the slots that it feeds by the feed rows. */
export interface OwnerCapacity {
  /** The instance. */
  record: InstanceRecord
  /** Slots that it feeds for the service in the region. */
  slots: number
}

/** Options of {@linkcode createOwnerLoads}. */
export interface CreateOwnerLoadsOptions {
  /** Name of this instance. */
  instance: string
  /** Failure domain of this instance. */
  failureDomain: string
  /** Returns what this instance offers for a service itself. */
  getOwnLoad: (service: string) => SlotLoad
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** The loads of feeders. */
export interface OwnerLoads {
  /** Counts a request that is forwarded to a feeder; the function returned counts its end, once. */
  start (service: string, feeder: string): () => void
  /** Takes a feeder's report over; the text of its header, ignored where it is malformed. */
  record (service: string, feeder: string, header: string | undefined): void
  /** Describes feeders for a choice between them; pass only those of one region. */
  describe (service: string, candidates: OwnerCapacity[]): OwnerState[]
  /** Adds up what feeders last reported, their ages too; `undefined` unless each of them has reported. */
  sumReports (service: string, feeders: string[]): RegionReport | undefined
}

/** What is known of one feeder for one service. */
interface KnownFeeder {
  ownInFlight: number
  load: SlotLoad | undefined
  reportedAtMs: number
}

/**
 * Creates the loads of an instance, none known.
 *
 * @param options The instance and the clock
 * @returns The loads
 */
export function createOwnerLoads (options: CreateOwnerLoadsOptions): OwnerLoads {
  const { getNowMs } = options
  const known = new Map<string, KnownFeeder>()

  function getFeeder (service: string, feeder: string): KnownFeeder {
    const key = `${service}\u0000${feeder}`
    const entry = known.get(key) ?? { ownInFlight: 0, load: undefined, reportedAtMs: 0 }
    known.set(key, entry)
    return entry
  }

  function describeFeeder (service: string, { record, slots }: OwnerCapacity): OwnerState {
    const isLocal = record.instance === options.instance
    const entry = getFeeder(service, record.instance)
    const load = isLocal ? options.getOwnLoad(service) : entry.load
    const reportAgeMs = isLocal ? 0 : getNowMs() - entry.reportedAtMs
    return {
      instance: record.instance,
      slots: load !== undefined && reportAgeMs < slotsLifetimeMs ? Math.min(slots, load.slots) : slots,
      ownInFlight: entry.ownInFlight,
      reportedLoad: load === undefined ? undefined : load.busy + load.queued,
      reportAgeMs,
      isLocal,
      isNear: record.failureDomain === options.failureDomain
    }
  }

  return {
    start (service, feeder) {
      const entry = getFeeder(service, feeder)
      let running = true
      entry.ownInFlight++
      return () => {
        if (running) entry.ownInFlight--
        running = false
      }
    },
    record (service, feeder, header) {
      const load = parseSlotLoad(header ?? '')
      if (load !== undefined) Object.assign(getFeeder(service, feeder), { load, reportedAtMs: getNowMs() })
    },
    sumReports (service, feeders) {
      if (feeders.length === 0) return undefined
      const sum: RegionReport = { slots: 0, busy: 0, ageMs: 0 }
      for (const feeder of feeders) {
        const isLocal = feeder === options.instance
        const { load, reportedAtMs } = getFeeder(service, feeder)
        const reported = isLocal ? options.getOwnLoad(service) : load
        if (reported === undefined) return undefined
        sum.slots += reported.slots
        sum.busy += reported.busy
        if (!isLocal) sum.ageMs = Math.max(sum.ageMs, getNowMs() - reportedAtMs)
      }
      return sum
    },
    describe: (service, candidates) => candidates.map(candidate => describeFeeder(service, candidate))
  }
}

/**
 * Formats a load as the value of its header.
 *
 * @param load The load
 * @returns Slots, busy ones and waiting requests, joined by commas
 */
export function formatSlotLoad (load: SlotLoad): string {
  return `${load.slots},${load.busy},${load.queued}`
}

/**
 * Parses the value of the header.
 *
 * @param text The value
 * @returns The load, or `undefined` where the text is malformed
 */
export function parseSlotLoad (text: string): SlotLoad | undefined {
  const match = loadPattern.exec(text)
  return match === null ? undefined : { slots: Number(match[1]), busy: Number(match[2]), queued: Number(match[3]) }
}
