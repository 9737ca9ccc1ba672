/**
 * Prometheus metrics of an entry instance.
 *
 * @module
 */
import type { RouteKind } from '@bilberryworks/steering'
import { ColdEvidence, FailureSide, Outcome, RefusalReason, RetryReason } from '@bilberryworks/steering'
import { ConnectionEvent, MalformedKind } from '@bilberryworks/targets'
import { GuardedCallback } from './callback_guard.ts'
import { EntryListener } from './entry_listener.ts'
import { RelayResultKind } from './send_relayed.ts'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Stages of a request whose durations are measured. */
export enum RequestStage {
  /** From arrival to the dispatch to a target. */
  Queue = 'queue',
  /** From the dispatch to the first byte sent: the time to establish a connection, near zero on a pooled connection. */
  Connect = 'connect',
  /** From the dispatch to the response head. */
  FirstByte = 'first_byte',
  /** From the dispatch through another instance to the head of the target's response. */
  Relay = 'relay',
  /** From arrival to the end of the attempt. */
  Total = 'whole'
}

/** Kinds of messages to other instances, by which their bytes are counted. */
export enum PeerTraffic {
  /** Heartbeats. */
  Heartbeat = 'heartbeat',
  /** Rows of the replicated tables. */
  State = 'state'
}

/** What a target reports about itself in a response, apart from its load. */
export enum TargetReport {
  /** It is leaving. */
  Leaving = 'leaving',
  /** It wants no requests for some time. */
  Pause = 'pause',
  /** It accepts another rate of requests than before. */
  Rate = 'rate',
  /** It names a rate of requests that can't be read. */
  UnreadableRate = 'unreadable_rate'
}

/** Records the metrics of an entry instance. */
export interface EntryMetrics {
  /** Registry with all metrics. */
  registry: Registry
  /** Counts a request that ended with a complete response of a target. */
  countCompleted (route: string): void
  /** Counts a request that was refused or whose response was truncated; the route is an empty string if the request matched none. */
  countRefused (route: string, outcome: Outcome, reason: RefusalReason): void
  /** Counts a retry at another target. */
  countRetry (reason: RetryReason): void
  /** Counts a response to a caller that was truncated. */
  countTruncated (): void
  /** Counts a row of a table that can't be decoded. */
  countUndecodable (table: string): void
  /** Counts a response of a target that belongs to a request other than the one in flight on its connection. */
  countMismatchedResponse (): void
  /** Counts a response of a target that was given up because of what the target sent. */
  countMalformedResponse (kind: MalformedKind): void
  /** Counts a report of a target. */
  countTargetReport (report: TargetReport): void
  /** Counts evidence that a target is cold. */
  countColdEvidence (evidence: ColdEvidence): void
  /** Counts a request that is quarantined because targets ended whenever they ran it. */
  countQuarantined (): void
  /** Counts an event of a connection to a target. */
  countConnectionEvent (event: ConnectionEvent): void
  /** Counts a connection to a target that was not established, by the side on which it failed. */
  countConnectFailure (side: FailureSide): void
  /** Counts a request that was sent through another instance, by result. */
  countRelayed (result: RelayResultKind): void
  /** Counts bytes sent to peers, by kind of message. */
  countPeerBytes (traffic: PeerTraffic, bytes: number): void
  /** Counts an exception in a guarded callback. */
  countCallbackError (callback: GuardedCallback): void
  /** Counts an error that nothing caught. */
  countUncaughtError (): void
  /** Counts an error of an open listener. */
  countListenerError (listener: string): void
  /** Records the duration of a request stage, in milliseconds. */
  recordStage (stage: RequestStage, kind: RouteKind, elapsedMs: number): void
}

/** Sources of the gauge values. */
export interface EntryGauges {
  /** Functions that return the current value of each gauge. */
  readers: Record<EntryGauge, () => number>
  /** Returns the number of log lines that were lost because the output failed; 0 by default. */
  countLostLines?: () => number
}

/** Gauges, by metric name. */
export enum EntryGauge {
  /** Version of the routing configuration in effect. */
  ConfigVersion = 'bilberry_config_version',
  /** Number of registered targets. */
  Targets = 'bilberry_targets',
  /** Number of registered targets to which requests are restricted after failed exchanges or connections. */
  FailingTargets = 'bilberry_failing_targets',
  /** Number of groups of targets, by service and failure domain, to which this instance has no network path. */
  UnreachedGroups = 'bilberry_unreached_target_groups',
  /** Number of queued requests. */
  Waiting = 'bilberry_queued_requests',
  /** Number of requests in flight to targets. */
  InFlight = 'bilberry_in_flight_requests',
  /** Number of open connections to targets. */
  TargetConnections = 'bilberry_target_connections',
  /** Number of other live instances. */
  Peers = 'bilberry_live_peers',
  /** Time since the last response of the store, in seconds. */
  StoreAge = 'bilberry_platform_age_seconds',
  /** Longest time for which the event loop was held since the last reading, in seconds; 0 below 0.2 s. */
  EventLoopDelay = 'bilberry_event_loop_delay_seconds',
  /** Number of dropped log lines. */
  DroppedLines = 'bilberry_log_lines_dropped',
  /** Number of open descriptors of the process. */
  OpenDescriptors = 'bilberry_open_descriptors',
  /** Number of connections of all kinds that the limits of descriptors allow. */
  MaxConnections = 'bilberry_connection_limit',
  /** Number of connections that are reserved for the store, other instances, readiness checks and look-ups. */
  ReservedConnections = 'bilberry_reserved_connections',
  /** Number of open connections of callers. */
  CallerConnections = 'bilberry_caller_connections',
  /** Number of connections of callers beyond which requests are refused. */
  MaxCallerConnections = 'bilberry_caller_connection_limit',
  /** Number of connections to targets that may be open. */
  MaxTargetConnections = 'bilberry_target_connection_limit',
  /** Size of the objects in the old generation of the heap, garbage included, in bytes. */
  HeapUsed = 'bilberry_heap_used_bytes',
  /** Limit of the old generation of the heap, in bytes. */
  MaxHeap = 'bilberry_heap_limit_bytes',
  /** Resident memory of the process, in bytes. */
  ResidentBytes = 'bilberry_resident_bytes',
  /** Limit of the resident memory, in bytes; 0 if the settings state none. */
  MaxResidentBytes = 'bilberry_resident_limit_bytes',
  /** Buffers of the process outside the heap, in bytes. */
  BufferBytes = 'bilberry_buffer_bytes',
  /** Memory of the bodies of requests that have not ended, in bytes. */
  BodyBytes = 'bilberry_body_buffer_bytes',
  /** Memory for the bodies of requests beyond which requests with a body are refused, in bytes. */
  MaxBodyBytes = 'bilberry_body_buffer_limit_bytes'
}

const gaugeHelp: Record<EntryGauge, string> = {
  [EntryGauge.ConfigVersion]: 'Version of the routing configuration in effect',
  [EntryGauge.Targets]: 'Number of registered targets',
  [EntryGauge.FailingTargets]: 'Number of registered targets whose circuit is not closed',
  [EntryGauge.UnreachedGroups]: 'Number of groups of targets, by service and failure domain, to which this instance has no network path',
  [EntryGauge.Waiting]: 'Number of requests queued for a free target slot',
  [EntryGauge.InFlight]: 'Number of requests in flight to targets',
  [EntryGauge.TargetConnections]: 'Number of open connections to targets',
  [EntryGauge.Peers]: 'Number of other live instances',
  [EntryGauge.StoreAge]: 'Time since the last response of the platform store, in seconds',
  [EntryGauge.EventLoopDelay]: 'Longest time for which the event loop was held since the last reading, in seconds; 0 below 0.2 s',
  [EntryGauge.DroppedLines]: 'Number of dropped log lines',
  [EntryGauge.OpenDescriptors]: 'Number of open descriptors of the process',
  [EntryGauge.MaxConnections]: 'Number of connections of all kinds that the limits of descriptors allow',
  [EntryGauge.ReservedConnections]: 'Number of connections that are reserved for the store, other instances, readiness checks and look-ups',
  [EntryGauge.CallerConnections]: 'Number of open connections of callers',
  [EntryGauge.MaxCallerConnections]: 'Number of connections of callers beyond which requests are refused',
  [EntryGauge.MaxTargetConnections]: 'Number of connections to targets that may be open',
  [EntryGauge.HeapUsed]: 'Size of the objects in the old generation of the heap, garbage included, in bytes',
  [EntryGauge.MaxHeap]: 'Limit of the old generation of the heap, in bytes',
  [EntryGauge.ResidentBytes]: 'Resident memory of the process, in bytes',
  [EntryGauge.MaxResidentBytes]: 'Limit of the resident memory, in bytes; 0 if the settings state none',
  [EntryGauge.BufferBytes]: 'Buffers of the process outside the heap, in bytes',
  [EntryGauge.BodyBytes]: 'Memory of the bodies of requests that have not ended, in bytes',
  [EntryGauge.MaxBodyBytes]: 'Memory for the bodies of requests beyond which requests with a body are refused, in bytes'
}

/** Bucket bounds of the histogram of stage durations, in seconds: from the processing time of the instance to the longest route time-outs. */
const latencyBucketsSeconds = [0.005, 0.02, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6]
const msPerSecond = 1_000

/**
 * Creates the metrics, with the counter of each reason initialized to zero.
 *
 * @param gauges Sources of the gauge values
 * @returns The metrics
 */
export function createEntryMetrics (gauges: EntryGauges): EntryMetrics {
  const registry = new Registry()
  const registers = [registry]
  const requests = new Counter({ name: 'bilberry_requests_total', help: 'Finished requests, by route and outcome', labelNames: ['route', 'outcome'], registers })
  const refusals = new Counter({ name: 'bilberry_refusals_total', help: 'Requests without a complete response, by reason', labelNames: ['reason'], registers })
  const retries = new Counter({ name: 'bilberry_retries_total', help: 'Retries at another target, by reason', labelNames: ['reason'], registers })
  const truncatedResponses = new Counter({ name: 'bilberry_answers_broken_total', help: 'Responses to callers that were truncated', registers })
  const undecodableRows = new Counter({ name: 'bilberry_rows_undecodable_total', help: 'Rows that could not be decoded, by table', labelNames: ['table'], registers })
  const mismatchedResponses = new Counter({ name: 'bilberry_stray_answers_total', help: 'Responses of targets to requests other than the one in flight', registers })
  const malformedResponses = new Counter({ name: 'bilberry_malformed_responses_total', help: 'Responses of targets that were given up because of what was sent, by kind', labelNames: ['kind'], registers })
  const targetReports = new Counter({ name: 'bilberry_target_reports_total', help: 'Reports of targets about themselves in responses, by kind', labelNames: ['report'], registers })
  const coldEvidence = new Counter({ name: 'bilberry_cold_targets_total', help: 'Evidence that a target is cold, by kind', labelNames: ['evidence'], registers })
  const quarantined = new Counter({ name: 'bilberry_requests_quarantined_total', help: 'Requests that are refused because targets ended whenever they ran them, each counted once', registers })
  const connectionEvents = new Counter({ name: 'bilberry_target_connection_events_total', help: 'Events of connections to targets, by kind', labelNames: ['event'], registers })
  const connectFailures = new Counter({ name: 'bilberry_connect_failures_total', help: 'Connections to targets that were not established, by the side on which they failed', labelNames: ['side'], registers })
  const relayed = new Counter({ name: 'bilberry_relayed_requests_total', help: 'Requests sent through another instance, by result', labelNames: ['result'], registers })
  const peerBytes = new Counter({ name: 'bilberry_peer_bytes_total', help: 'Bytes sent to other instances, by kind of message', labelNames: ['message'], registers })
  const listenerErrors = new Counter({ name: 'bilberry_listener_errors_total', help: 'Errors of open listeners, such as those of accepting a connection, by listener', labelNames: ['listener'], registers })
  const callbackErrors = new Counter({ name: 'bilberry_callback_errors_total', help: 'Exceptions in callbacks, each of which failed only what it was for, by callback', labelNames: ['callback'], registers })
  const uncaughtErrors = new Counter({ name: 'bilberry_uncaught_errors_total', help: 'Exceptions and rejections that nothing caught, after which the instance stops', registers })
  const { countLostLines = () => 0 } = gauges
  registry.registerMetric(new Counter({
    name: 'bilberry_log_lines_lost_total',
    help: 'Log lines that were lost because the output failed',
    registers: [],
    collect () {
      this.reset()
      this.inc(countLostLines())
    }
  }))
  const stages = new Histogram({ name: 'bilberry_stage_seconds', help: 'Duration of a request stage in seconds, by stage and kind of route', labelNames: ['stage', 'kind'], buckets: latencyBucketsSeconds, registers })
  for (const reason of Object.values(RefusalReason)) refusals.inc({ reason }, 0)
  for (const reason of Object.values(RetryReason)) retries.inc({ reason }, 0)
  for (const kind of Object.values(MalformedKind)) malformedResponses.inc({ kind }, 0)
  for (const report of Object.values(TargetReport)) targetReports.inc({ report }, 0)
  for (const evidence of Object.values(ColdEvidence)) coldEvidence.inc({ evidence }, 0)
  for (const event of Object.values(ConnectionEvent)) connectionEvents.inc({ event }, 0)
  for (const side of Object.values(FailureSide)) connectFailures.inc({ side }, 0)
  for (const result of Object.values(RelayResultKind)) relayed.inc({ result }, 0)
  for (const message of Object.values(PeerTraffic)) peerBytes.inc({ message }, 0)
  for (const callback of Object.values(GuardedCallback)) callbackErrors.inc({ callback }, 0)
  for (const listener of Object.values(EntryListener)) listenerErrors.inc({ listener }, 0)
  for (const name of Object.values(EntryGauge)) {
    registers[0]!.registerMetric(new Gauge({ name, help: gaugeHelp[name], registers: [], collect () { this.set(gauges.readers[name]()) } }))
  }
  return {
    registry,
    countCompleted: route => requests.inc({ route, outcome: Outcome.Answered }),
    countRefused (route, outcome, reason) {
      requests.inc({ route, outcome })
      refusals.inc({ reason })
    },
    countRetry: reason => retries.inc({ reason }),
    countTruncated: () => truncatedResponses.inc(),
    countUndecodable: table => undecodableRows.inc({ table }),
    countMismatchedResponse: () => mismatchedResponses.inc(),
    countMalformedResponse: kind => malformedResponses.inc({ kind }),
    countTargetReport: report => targetReports.inc({ report }),
    countColdEvidence: evidence => coldEvidence.inc({ evidence }),
    countQuarantined: () => quarantined.inc(),
    countConnectionEvent: event => connectionEvents.inc({ event }),
    countConnectFailure: side => connectFailures.inc({ side }),
    countRelayed: result => relayed.inc({ result }),
    countPeerBytes: (message, bytes) => peerBytes.inc({ message }, bytes),
    countCallbackError: callback => callbackErrors.inc({ callback }),
    countUncaughtError: () => uncaughtErrors.inc(),
    countListenerError: listener => listenerErrors.inc({ listener }),
    recordStage: (stage, kind, elapsedMs) => stages.observe({ stage, kind }, elapsedMs / msPerSecond)
  }
}
