/**
 * Counters, gauges and histograms of an instance.
 *
 * @module
 */
import type { RequestEnd } from '@bilberryworks/callers'
import { ClientBlocksLoad } from '@bilberryworks/platform'
import { Outcome, RefusalReason, RetryReason } from '@bilberryworks/steering'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

const latencyBucketsSeconds = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30]

/** Current values that the gauges show. */
export interface GaugeSources {
  /** Requests that wait for a slot. */
  countQueued: () => number
  /** Requests that hold a slot. */
  countInFlight: () => number
  /** Milliseconds since the platform last answered. */
  getPlatformAgeMs: () => number
  /** Revision of the map of client blocks in force. */
  getClientBlocksRevision: () => number
  /** Revision in force by service. */
  getRevisions: () => Record<string, number>
  /** Slots that this instance may use now, by failure domain of their targets. */
  sumOwnedSlots: () => Record<string, number>
}

/** The metrics of an instance. */
export interface Metrics {
  /** Registry that `/metrics` renders. */
  registry: Registry
  /** Counts the end of a caller's request. */
  recordEnd: (end: RequestEnd) => void
  /** Counts a refusal that no request was read for. */
  countRefusal: (reason: RefusalReason) => void
  /** Counts a retry. */
  countRetry: (reason: RetryReason) => void
  /** Counts a call without a valid key or token. */
  countUnauthenticated: (listener: string) => void
  /** Counts a look-up. */
  countLookUp: () => void
  /** Counts bytes of the exchange with peers. */
  countControlBytes: (bytes: number) => void
  /** Counts an exchange left out because the budget of control bytes was spent. */
  countSkippedExchange: () => void
  /** Counts an attempt to load the map of client blocks. */
  countClientBlocksLoad: (load: ClientBlocksLoad) => void
  /** Counts the requests that a stop cut off. */
  countCutOff: (requests: number) => void
}

/**
 * Creates the metrics of an instance.
 *
 * Every reason is present at zero from the start.
 *
 * @param sources Where the gauges read their values
 * @returns The metrics
 */
export function createMetrics (sources: GaugeSources): Metrics {
  const registry = new Registry()
  const registers = [registry]
  const requests = new Counter({ name: 'bilberry_requests_total', help: 'Requests ended, by service and outcome', labelNames: ['service', 'outcome'], registers })
  const refusals = new Counter({ name: 'bilberry_refusals_total', help: 'Refusals, by reason', labelNames: ['reason'], registers })
  const retries = new Counter({ name: 'bilberry_retries_total', help: 'Requests sent again by the system, by reason', labelNames: ['reason'], registers })
  const truncatedResponses = new Counter({ name: 'bilberry_answers_broken_total', help: 'Answers cut off half-way', registers })
  const cutOff = new Counter({ name: 'bilberry_stop_cut_off_total', help: 'Requests cut off by the end of a stop', registers })
  const lookUps = new Counter({ name: 'bilberry_look_ups_total', help: 'Look-ups of entry instances', registers })
  const unauthenticated = new Counter({ name: 'bilberry_unauthenticated_total', help: 'Calls without a valid key or token, by listener', labelNames: ['listener'], registers })
  const controlBytes = new Counter({ name: 'bilberry_control_bytes_total', help: 'Bytes of exchanges with peers that this instance began', registers })
  const skippedExchanges = new Counter({ name: 'bilberry_exchanges_held_back_total', help: 'Exchanges left out because the budget of control bytes was spent', registers })
  const blockLoads = new Counter({ name: 'bilberry_client_blocks_loads_total', help: 'Attempts to load the map of client blocks, by end', labelNames: ['end'], registers })
  const latency = new Histogram({ name: 'bilberry_request_seconds', help: 'Time from first byte to end', labelNames: ['service', 'outcome'], buckets: latencyBucketsSeconds, registers })
  for (const reason of Object.values(RefusalReason)) refusals.inc({ reason }, 0)
  for (const reason of Object.values(RetryReason)) retries.inc({ reason }, 0)
  for (const listener of ['operators', 'peers']) unauthenticated.inc({ listener }, 0)
  for (const end of Object.values(ClientBlocksLoad)) blockLoads.inc({ end }, 0)
  registerGauges(registry, sources)
  const labelledServices = new Set<string>()
  /** Returns the label of a service; empty where it has no document, so that callers can't add labels. */
  const findServiceLabel = (service: string): string => {
    if (labelledServices.has(service)) return service
    if (!Object.hasOwn(sources.getRevisions(), service)) return ''
    labelledServices.add(service)
    return service
  }
  return {
    registry,
    countRefusal (reason) {
      refusals.inc({ reason })
      requests.inc({ service: '', outcome: Outcome.NotRun })
    },
    recordEnd (end) {
      const service = findServiceLabel(end.service)
      requests.inc({ service, outcome: end.outcome })
      latency.observe({ service, outcome: end.outcome }, end.elapsedMs / 1000)
      if (end.reason !== undefined) refusals.inc({ reason: end.reason })
      if (end.outcome === Outcome.Answered && !end.whole) truncatedResponses.inc()
    },
    countRetry: reason => retries.inc({ reason }),
    countUnauthenticated: listener => unauthenticated.inc({ listener }),
    countLookUp: () => lookUps.inc(),
    countControlBytes: bytes => controlBytes.inc(bytes),
    countSkippedExchange: () => skippedExchanges.inc(),
    countClientBlocksLoad: end => blockLoads.inc({ end }),
    countCutOff: count => cutOff.inc(count)
  }
}

function registerGauges (registry: Registry, sources: GaugeSources): void {
  const registers = [registry]
  const addGauge = (name: string, help: string, getValue: () => number): void => {
    const gauge = new Gauge({ name, help, registers, collect () { this.set(getValue()) } })
    gauge.set(0)
  }
  addGauge('bilberry_queued_requests', 'Requests that wait for a slot', sources.countQueued)
  addGauge('bilberry_in_flight_requests', 'Requests that hold a slot', sources.countInFlight)
  addGauge('bilberry_platform_age_seconds', 'Time since the platform last answered', () => sources.getPlatformAgeMs() / 1000)
  addGauge('bilberry_client_blocks_revision', 'Revision of the map of client blocks in force', sources.getClientBlocksRevision)
  const revisions = new Gauge({
    name: 'bilberry_document_revision',
    help: 'Revision in force, by service',
    labelNames: ['service'],
    registers,
    collect () {
      for (const [service, revision] of Object.entries(sources.getRevisions())) this.set({ service }, revision)
    }
  })
  revisions.reset()
  const ownedSlots = new Gauge({
    name: 'bilberry_fed_slots',
    help: 'Slots of targets that this instance may use now, by failure domain',
    labelNames: ['failure_domain'],
    registers,
    collect () {
      for (const [failureDomain, slots] of Object.entries(sources.sumOwnedSlots())) this.set({ failure_domain: failureDomain }, slots)
    }
  })
  ownedSlots.reset()
}
