/**
 * The listeners of an entry instance.
 *
 * @module
 */

/** Listeners, by their name in log lines and metrics. */
export enum EntryListener {
  /** Requests of callers. */
  Callers = 'callers',
  /** Look-ups. */
  LookUps = 'look_ups',
  /** Readiness checks. */
  Readiness = 'readiness',
  /** Calls of other instances. */
  Peers = 'peers',
  /** Heartbeats of other instances, over UDP. */
  Heartbeats = 'heartbeats',
  /** Metrics. */
  Metrics = 'metrics'
}
