/**
 * Messages of the gossip protocol between instances.
 *
 * An exchange carries digests and recent changes, all of bounded length; a second call fetches the data whose digests differ.
 *
 * @module
 */
import type { AcceptedDocument, InstanceRecord, ShiftRow, TargetRecord, TargetSelfReport } from '@bilberryworks/steering'
import type { InstanceWithAge } from './instance_table.ts'

/** Names of the JSON-RPC methods that instances call on each other, besides that of target ownership. */
export enum PeerMethodName {
  Exchange = 'exchange',
  Fetch = 'fetch',
  Versions = 'versions'
}

/** The fields of an announcement that change during the lifetime of an incarnation, with those that identify it. */
export type HeartbeatNote = Pick<InstanceRecord, 'instance' | 'incarnation' | 'start' | 'sequence' | 'state' | 'pinEpoch'> & {
  /** Time since the announcement was made, in milliseconds. */
  ageMs: number
}

/** The message that starts a gossip exchange. */
export interface GossipMessage {
  /** Announcement of the sender. */
  self: InstanceRecord
  /** Whether the sender has loaded all service documents since its start. */
  ready: boolean
  /** Digests of the sender's cluster view; equal digests mean equal data. */
  digests: ViewDigests
  /** Heartbeats of other instances, most recent first. */
  heartbeats: HeartbeatNote[]
  /** Self-reports of targets, most recent first. */
  words: TargetSelfReport[]
  /** Age of the sender's list of targets, in milliseconds; absent without a list. */
  targetsAgeMs?: number
  /** Set on an exchange that the receiver of another exchange starts in return, so that it triggers no further one. */
  isFollowUp?: boolean
}

/** Digests of an instance's cluster view. */
export interface ViewDigests {
  /** Digest of the document revisions. */
  documents: string
  /** Digest of the steps of the shift rows, which hold the region weights in use. */
  shifts: string
  /** Digest of the list of targets. */
  targets: string
}

/** The reply to a gossip exchange. */
export interface GossipReply extends GossipMessage {
  /** Document revisions by service, present when the digests of documents differ. */
  revisions?: Record<string, number>
  /** Steps of the shift rows by service, present when the digests of shifts differ. */
  steps?: Record<string, number>
}

/** A request for data of which the receiver has a newer version. */
export interface FetchMessage {
  /** Services whose document is requested. */
  documents: string[]
  /** Services whose shift row (the region weights in use) is requested. */
  shifts: string[]
  /** Instances whose announcement is requested. */
  instances: string[]
  /** Whether the list of targets is requested. */
  targets: boolean
}

/** The reply to a fetch. */
export interface FetchReply {
  /** The requested documents that are known. */
  documents: AcceptedDocument[]
  /** The requested shift rows that are known. */
  shifts: ShiftRow[]
  /** The requested announcements, of reachable instances only. */
  instances: InstanceWithAge[]
  /** The list of targets with its age in milliseconds, present when requested. */
  targets?: { records: TargetRecord[], ageMs: number }
}

/** Versions of the configuration that an instance uses. */
export interface InstanceVersions {
  /** Name of the instance. */
  instance: string
  /** Identifier of the current run of the instance's process. */
  incarnation: string
  /** Whether the instance has loaded all service documents since its start. */
  ready: boolean
  /** Revision of the document in use, by service. */
  revisions: Record<string, number>
  /** Step of the shift row (the region weights in use), by service. */
  steps: Record<string, number>
  /** Time since the platform last responded to the instance, in milliseconds. */
  platformAgeMs: number
}
