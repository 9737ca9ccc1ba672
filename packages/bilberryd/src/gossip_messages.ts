/**
 * The messages by which instances tell each other what they know.
 *
 * An exchange carries digests and what changed lately, all of bounded length; what differs is fetched by a second call.
 *
 * @module
 */
import type { AcceptedDocument, InstanceRecord, ShiftRow, TargetRecord, TargetSelfReport } from '@bilberryworks/steering'
import type { InstanceWithAge } from './instance_table.ts'

/** Names of the methods between instances. */
export enum PeerMethodName {
  Exchange = 'exchange',
  Fetch = 'fetch',
  Versions = 'versions'
}

/** The part of an announcement that changes while an incarnation lives. */
export type HeartbeatNote = Pick<InstanceRecord, 'instance' | 'incarnation' | 'start' | 'sequence' | 'state' | 'pinEpoch'> & {
  /** Milliseconds since the announcement was made. */
  ageMs: number
}

/** What one instance tells another. */
export interface GossipMessage {
  /** The sender. */
  self: InstanceRecord
  /** Whether the sender has learnt the documents since its start. */
  ready: boolean
  /** Digests of what the sender knows; equal ones mean equal knowledge. */
  digests: ViewDigests
  /** Instances heard of, latest first. */
  heartbeats: HeartbeatNote[]
  /** Targets' own words, latest first. */
  words: TargetSelfReport[]
  /** Age of the sender's list of targets, in milliseconds; absent where it has none. */
  targetsAgeMs?: number
  /** Set where the call follows a peer's call, so that no further one follows. */
  isFollowUp?: boolean
}

/** Digests of an instance's knowledge. */
export interface ViewDigests {
  /** Of the revisions in force. */
  documents: string
  /** Of the steps of the shift rows. */
  shifts: string
  /** Of the list of targets. */
  targets: string
}

/** The answer to an exchange. */
export interface GossipReply extends GossipMessage {
  /** Revisions in force, where the digests differ. */
  revisions?: Record<string, number>
  /** Steps of the shift rows, where the digests differ. */
  steps?: Record<string, number>
}

/** What an instance fetches from another. */
export interface FetchMessage {
  /** Services whose document is asked for. */
  documents: string[]
  /** Services whose shift row is asked for. */
  shifts: string[]
  /** Instances whose announcement is asked for. */
  instances: string[]
  /** Whether the list of targets is asked for. */
  targets: boolean
}

/** The answer to a fetch. */
export interface FetchReply {
  /** The documents. */
  documents: AcceptedDocument[]
  /** The shift rows. */
  shifts: ShiftRow[]
  /** The announcements. */
  instances: InstanceWithAge[]
  /** The list of targets with its age in milliseconds, where asked for. */
  targets?: { records: TargetRecord[], ageMs: number }
}

/** What an instance has in force. */
export interface InstanceVersions {
  /** Name of the instance. */
  instance: string
  /** Identifier of this run of its process. */
  incarnation: string
  /** Whether it has learnt the documents since its start. */
  ready: boolean
  /** Revision in force, by service. */
  revisions: Record<string, number>
  /** Step of the shift row, by service. */
  steps: Record<string, number>
  /** Milliseconds since the platform last answered it. */
  platformAgeMs: number
}
