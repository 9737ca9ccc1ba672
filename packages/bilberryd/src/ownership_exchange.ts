/**
 * Exchanges ownership rows between instances, so that leases can be renewed without the platform and a changed row
 * arrives before the next poll.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import type { OwnershipRow, InstanceRecord } from '@bilberryworks/steering'

/** Name of the JSON-RPC method. */
export const ownershipMethod = 'feeds.exchange'

const exchangeTimeoutMs = 500

/** Request from one participant of target ownership to another. */
export interface OwnershipMessage {
  /** Name of the sender. */
  instance: string
  /** Revision of each ownership row that the sender knows, by failure domain. */
  revisions: Record<string, number>
  /** Ownership rows that the sender has just changed. */
  rows: OwnershipRow[]
}

/** Reply to an {@linkcode OwnershipMessage}. */
export interface OwnershipReply {
  /** Whether the replying instance guarantees not to declare the sender silent until a full takeover time has passed. */
  heard: boolean
  /** Ownership rows with a later revision than the sender knows. */
  rows: OwnershipRow[]
}

/** Options of {@linkcode createOwnershipExchange}. */
export interface CreateOwnershipExchangeOptions {
  /** Returns the name of this instance. */
  getInstance: () => string
  /** Returns the last known record of an instance, even if its heartbeats have stopped. */
  findInstance: (instance: string) => InstanceRecord | undefined
  /** Client for calls to the other instances. */
  peers: PeerClient
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Lists the known rows. */
  listRows: () => OwnershipRow[]
  /** Merges a row unless the same or a later revision is known. */
  mergeRow: (row: OwnershipRow) => void
  /** Records a message from an instance; returns `false` while this instance is declaring the sender silent. */
  recordContact: (instance: string) => boolean
  /** Records that an instance acknowledged a message that was sent at the given monotonic time. */
  recordAcknowledgement: (instance: string, sentAtMs: number) => void
}

/** Exchanges ownership rows with other instances. */
export interface OwnershipExchange {
  /** Sends the known revisions to an instance and merges the later rows that it returns. */
  exchangeWith (instance: string): Promise<void>
  /** Sends a row to its owners and participants, so that a handoff need not wait for their next poll. */
  spreadRow (row: OwnershipRow): Promise<void>
  /** Handles an {@linkcode OwnershipMessage}. */
  handleExchange (params: unknown): OwnershipReply
}

/**
 * Creates the exchange of an instance.
 *
 * @param options Peers, clock and access to the rows
 * @returns The exchange
 */
export function createOwnershipExchange (options: CreateOwnershipExchangeOptions): OwnershipExchange {
  async function exchangeRows (instance: string, rows: OwnershipRow[]): Promise<void> {
    const record = options.findInstance(instance)
    if (record === undefined) return
    const sentAtMs = options.getNowMs()
    const params: OwnershipMessage = { instance: options.getInstance(), revisions: collectRevisions(), rows }
    const reply = await options.peers.call<OwnershipReply>(record.peerAddress, ownershipMethod, { params, timeoutMs: exchangeTimeoutMs })
    if (reply.isErr()) return
    reply.value.rows.forEach(options.mergeRow)
    if (reply.value.heard) options.recordAcknowledgement(instance, sentAtMs)
  }

  function collectRevisions (): Record<string, number> {
    return Object.fromEntries(options.listRows().map(row => [row.failureDomain, row.revision]))
  }

  return {
    exchangeWith: async instance => exchangeRows(instance, []),
    async spreadRow (row) {
      const names = new Set([...row.assignment.feeders, ...Object.keys(row.parties)])
      names.delete(options.getInstance())
      await Promise.all([...names].map(name => exchangeRows(name, [row])))
    },
    handleExchange (params) {
      const message = params as OwnershipMessage
      const heard = options.recordContact(message.instance)
      message.rows.forEach(options.mergeRow)
      return { heard, rows: options.listRows().filter(row => row.revision > (message.revisions[row.failureDomain] ?? 0)) }
    }
  }
}
