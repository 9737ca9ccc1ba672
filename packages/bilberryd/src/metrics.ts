/**
 * Prometheus counters, gauges and histograms of an instance.
 *
 * @module
 */
import type { RequestResult } from '@bilberryworks/callers'
import type { LineOutput } from './line_output.ts'
import { ClientBlocksLoadResult } from '@bilberryworks/platform'
import { Outcome, RefusalReason, RetryReason } from '@bilberryworks/steering'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

const latencyBucketsSeconds = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30]

/** Functions that return the current values of the gauges. */
export interface GaugeSources {
  /** Counts the requests waiting for a target slot. */
  countQueued: () => number
  /** Counts the requests holding a target slot. */
  countInFlight: () => number
  /** Returns the time since the platform last responded, in milliseconds. */
  getPlatformAgeMs: () => number
  /** Returns the revision of the client block map in use. */
  getClientBlocksRevision: () => number
  /** Returns the revision of the service document in use, by service. */
  getRevisions: () => Record<string, number>
  /** Sums the target slots that this instance may currently use, by failure domain of the targets. */
  sumOwnedSlots: () => Record<string, number>
}

/** The metrics of an instance. */
export interface Metrics {
  /** Registry that the `/metrics` endpoint renders. */
  registry: Registry
  /** Records the outcome and duration of a caller's finished request. */
  recordRequestEnd: (end: RequestResult) => void
  /** Counts a refusal outside of a service request, such as that of a look-up or of a connection whose request could not be read; also counts it as a finished request without a service. */
  countRefusal: (reason: RefusalReason) => void
  /** Counts a retry. */
  countRetry: (reason: RetryReason) => void
  /** Counts a call without a valid key or token on a listener. */
  countUnauthenticated: (listener: string) => void
  /** Counts an error of an open listener. */
  countListenerError: (listener: string) => void
  /** Counts a look-up. */
  countLookUp: () => void
  /** Counts bytes of gossip calls that this instance made and of their replies. */
  countControlBytes: (bytes: number) => void
  /** Counts a gossip exchange that was skipped because the budget of control bytes was used up. */
  countSkippedExchange: () => void
  /** Counts an attempt to load the client block map by its result. */
  countClientBlocksLoad: (load: ClientBlocksLoadResult) => void
  /** Counts the requests that a shutdown aborted. */
  countAbortedRequests: (requests: number) => void
  /** Counts an error that nothing caught. */
  countUncaughtError: () => void
  /** Adds the metrics of log lines that were dropped or lost. */
  addLogLines: (lines: Pick<LineOutput, 'countDropped' | 'countLost'>) => void
}

/**
 * Creates the metrics of an instance.
 *
 * Every refusal reason, retry reason, listener and load result is exported with the value 0 from the start, so that a
 * query finds its series before the first event.
 *
 * @param sources The sources of the gauges
 * @returns The metrics
 */
export function createMetrics (sources: GaugeSources): Metrics {
  const registry = new Registry()
  const registers = [registry]
  const requests = new Counter({ name: 'bilberry_requests_total', help: 'Finished requests, by service and outcome', labelNames: ['service', 'outcome'], registers })
  const refusals = new Counter({ name: 'bilberry_refusals_total', help: 'Refused requests, look-ups and connections, by reason', labelNames: ['reason'], registers })
  const retries = new Counter({ name: 'bilberry_retries_total', help: 'Retries of requests, by reason', labelNames: ['reason'], registers })
  const truncatedResponses = new Counter({ name: 'bilberry_answers_broken_total', help: 'Responses truncated before their end', registers })
  const abortedRequests = new Counter({ name: 'bilberry_stop_cut_off_total', help: 'Requests aborted by the time limit of a shutdown', registers })
  const lookUps = new Counter({ name: 'bilberry_look_ups_total', help: 'Look-ups of entry instances', registers })
  const unauthenticated = new Counter({ name: 'bilberry_unauthenticated_total', help: 'Calls without a valid key or token, by listener', labelNames: ['listener'], registers })
  const listenerErrors = new Counter({ name: 'bilberry_listener_errors_total', help: 'Errors of open listeners, such as those of accepting a connection, by listener', labelNames: ['listener'], registers })
  const controlBytes = new Counter({ name: 'bilberry_control_bytes_total', help: 'Bytes of the gossip calls that this instance made and of their replies', registers })
  const skippedExchanges = new Counter({ name: 'bilberry_exchanges_held_back_total', help: 'Gossip exchanges skipped because the budget of control bytes was used up', registers })
  const blockLoads = new Counter({ name: 'bilberry_client_blocks_loads_total', help: 'Attempts to load the client block map, by result', labelNames: ['end'], registers })
  const uncaughtErrors = new Counter({ name: 'bilberry_uncaught_errors_total', help: 'Exceptions and rejections that nothing caught, after which the instance stops', registers })
  const latency = new Histogram({ name: 'bilberry_request_seconds', help: 'Time from the first byte of a request to its end, in seconds', labelNames: ['service', 'outcome'], buckets: latencyBucketsSeconds, registers })
  for (const reason of Object.values(RefusalReason)) refusals.inc({ reason }, 0)
  for (const reason of Object.values(RetryReason)) retries.inc({ reason }, 0)
  for (const listener of ['operators', 'peers']) unauthenticated.inc({ listener }, 0)
  for (const listener of ['callers', 'operators', 'peers']) listenerErrors.inc({ listener }, 0)
  for (const end of Object.values(ClientBlocksLoadResult)) blockLoads.inc({ end }, 0)
  registerGauges(registry, sources)
  const labelledServices = new Set<string>()
  /** Returns the label value of a service; empty for a service without a document, so that callers can't create new label values. */
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
    recordRequestEnd (end) {
      const service = findServiceLabel(end.service)
      requests.inc({ service, outcome: end.outcome })
      latency.observe({ service, outcome: end.outcome }, end.elapsedMs / 1000)
      if (end.reason !== undefined) refusals.inc({ reason: end.reason })
      if (end.outcome === Outcome.Answered && !end.isComplete) truncatedResponses.inc()
    },
    countRetry: reason => retries.inc({ reason }),
    countUnauthenticated: listener => unauthenticated.inc({ listener }),
    countListenerError: listener => listenerErrors.inc({ listener }),
    countLookUp: () => lookUps.inc(),
    countControlBytes: bytes => controlBytes.inc(bytes),
    countSkippedExchange: () => skippedExchanges.inc(),
    countClientBlocksLoad: end => blockLoads.inc({ end }),
    countAbortedRequests: count => abortedRequests.inc(count),
    countUncaughtError: () => uncaughtErrors.inc(),
    addLogLines: lines => registerLogLines(registry, lines)
  }
}

function registerLogLines (registry: Registry, lines: Pick<LineOutput, 'countDropped' | 'countLost'>): void {
  registry.registerMetric(new Gauge({ name: 'bilberry_log_lines_dropped', help: 'Number of dropped log lines', registers: [], collect () { this.set(lines.countDropped()) } }))
  registry.registerMetric(new Counter({
    name: 'bilberry_log_lines_lost_total',
    help: 'Log lines that were lost because the output failed',
    registers: [],
    collect () {
      this.reset()
      this.inc(lines.countLost())
    }
  }))
}

function registerGauges (registry: Registry, sources: GaugeSources): void {
  const registers = [registry]
  const addGauge = (name: string, help: string, getValue: () => number): void => {
    const gauge = new Gauge({ name, help, registers, collect () { this.set(getValue()) } })
    gauge.set(0)
  }
  addGauge('bilberry_queued_requests', 'Requests waiting for a target slot', sources.countQueued)
  addGauge('bilberry_in_flight_requests', 'Requests holding a target slot', sources.countInFlight)
  addGauge('bilberry_platform_age_seconds', 'Time since the platform last responded, in seconds', () => sources.getPlatformAgeMs() / 1000)
  addGauge('bilberry_client_blocks_revision', 'Revision of the client block map in use', sources.getClientBlocksRevision)
  const revisions = new Gauge({
    name: 'bilberry_document_revision',
    help: 'Revision of the service document in use, by service',
    labelNames: ['service'],
    registers,
    collect () {
      for (const [service, revision] of Object.entries(sources.getRevisions())) this.set({ service }, revision)
    }
  })
  revisions.reset()
  const ownedSlots = new Gauge({
    name: 'bilberry_fed_slots',
    help: 'Target slots that this instance may currently use, by failure domain',
    labelNames: ['failure_domain'],
    registers,
    collect () {
      for (const [failureDomain, slots] of Object.entries(sources.sumOwnedSlots())) this.set({ failure_domain: failureDomain }, slots)
    }
  })
  ownedSlots.reset()
}
