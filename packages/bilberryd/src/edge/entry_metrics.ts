/**
 * Metrics of an entry instance.
 *
 * @module
 */
import type { RouteKind } from '@bilberryworks/steering'
import { Outcome, RefusalReason, RetryReason } from '@bilberryworks/steering'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Stages of a request whose times are measured. */
export enum RequestStage {
  /** From arrival to the hand-over to a target. */
  Queue = 'queue',
  /** From the hand-over to the first byte that is sent: the time of a new connection, none on one that was kept. */
  Connect = 'connect',
  /** From the hand-over to the head of the answer. */
  FirstByte = 'first_byte',
  /** From arrival to the end. */
  Whole = 'whole'
}

/** The metrics. */
export interface EntryMetrics {
  /** All metrics. */
  registry: Registry
  /** Counts a request that ended with a target's answer. */
  countAnswered (route: string): void
  /** Counts a request that ended without one. */
  countRefused (route: string, outcome: Outcome, reason: RefusalReason): void
  /** Counts a request that is sent to a further target. */
  countRetry (reason: RetryReason): void
  /** Counts an answer that was cut off on its way to the caller. */
  countTruncated (): void
  /** Counts a row that can't be decoded. */
  countUndecodable (table: string): void
  /** Counts an answer of a target that belongs to no request under way. */
  countUnsolicitedResponse (): void
  /** Records how long a stage took, in milliseconds. */
  recordStage (stage: RequestStage, kind: RouteKind, elapsedMs: number): void
}

/** Where the gauges read their values. */
export interface EntryGauges {
  /** Reads the value of each gauge. */
  readers: Record<EntryGauge, () => number>
}

/** The gauges. */
export enum EntryGauge {
  /** Version of the configuration in force. */
  ConfigVersion = 'bilberry_config_version',
  /** Targets that are registered. */
  Targets = 'bilberry_targets',
  /** Requests that wait. */
  Waiting = 'bilberry_queued_requests',
  /** Requests at targets. */
  InFlight = 'bilberry_in_flight_requests',
  /** Open connections to targets. */
  TargetConnections = 'bilberry_target_connections',
  /** Instances that are heard of. */
  Peers = 'bilberry_live_peers',
  /** Time since the store last answered, in seconds. */
  StoreAge = 'bilberry_platform_age_seconds',
  /** Lines of the log that were dropped. */
  DroppedLines = 'bilberry_log_lines_dropped'
}

const gaugeHelp: Record<EntryGauge, string> = {
  [EntryGauge.ConfigVersion]: 'Version of the configuration in force',
  [EntryGauge.Targets]: 'Targets that are registered',
  [EntryGauge.Waiting]: 'Requests that wait for a slot',
  [EntryGauge.InFlight]: 'Requests that are at targets',
  [EntryGauge.TargetConnections]: 'Open connections to targets',
  [EntryGauge.Peers]: 'Other instances that are heard of',
  [EntryGauge.StoreAge]: 'Time since the platform last answered',
  [EntryGauge.DroppedLines]: 'Lines of the log that were dropped'
}

/** Bounds of the latency histograms, in seconds: from the instance's own time to the longest time-outs of routes. */
const latencyBucketsSeconds = [0.005, 0.02, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6]
const msPerSecond = 1_000

/**
 * Creates the metrics; every reason is present at zero from the start.
 *
 * @param gauges Where the gauges read their values
 * @returns The metrics
 */
export function createEntryMetrics (gauges: EntryGauges): EntryMetrics {
  const registry = new Registry()
  const registers = [registry]
  const requests = new Counter({ name: 'bilberry_requests_total', help: 'Requests ended, by route and outcome', labelNames: ['route', 'outcome'], registers })
  const refusals = new Counter({ name: 'bilberry_refusals_total', help: 'Refusals, by reason', labelNames: ['reason'], registers })
  const retries = new Counter({ name: 'bilberry_retries_total', help: 'Requests sent to a further target, by reason', labelNames: ['reason'], registers })
  const truncated = new Counter({ name: 'bilberry_answers_broken_total', help: 'Answers cut off half-way', registers })
  const undecodable = new Counter({ name: 'bilberry_rows_undecodable_total', help: 'Rows that can not be decoded, by table', labelNames: ['table'], registers })
  const unsolicitedResponses = new Counter({ name: 'bilberry_stray_answers_total', help: 'Answers of targets to no request under way', registers })
  const stages = new Histogram({ name: 'bilberry_stage_seconds', help: 'Time of a stage, by kind of route', labelNames: ['stage', 'kind'], buckets: latencyBucketsSeconds, registers })
  for (const reason of Object.values(RefusalReason)) refusals.inc({ reason }, 0)
  for (const reason of Object.values(RetryReason)) retries.inc({ reason }, 0)
  for (const name of Object.values(EntryGauge)) {
    registers[0]!.registerMetric(new Gauge({ name, help: gaugeHelp[name], registers: [], collect () { this.set(gauges.readers[name]()) } }))
  }
  return {
    registry,
    countAnswered: route => requests.inc({ route, outcome: Outcome.Answered }),
    countRefused (route, outcome, reason) {
      requests.inc({ route, outcome })
      refusals.inc({ reason })
    },
    countRetry: reason => retries.inc({ reason }),
    countTruncated: () => truncated.inc(),
    countUndecodable: table => undecodable.inc({ table }),
    countUnsolicitedResponse: () => unsolicitedResponses.inc(),
    recordStage: (stage, kind, elapsedMs) => stages.observe({ stage, kind }, elapsedMs / msPerSecond)
  }
}
