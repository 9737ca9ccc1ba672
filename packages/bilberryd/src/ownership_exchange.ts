/**
 * The exchange between feeders: renews leases without the platform and spreads changed rows at once.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import type { OwnershipRow, InstanceRecord } from '@bilberryworks/steering'

/** Name of the JSON-RPC method. */
export const ownershipMethod = 'feeds.exchange'

const exchangeTimeoutMs = 500

/** What one feeder tells another. */
export interface OwnershipMessage {
  /** Sender. */
  instance: string
  /** Revision of each feed row that the sender knows, by failure domain. */
  revisions: Record<string, number>
  /** Feed rows that the sender has just changed. */
  rows: OwnershipRow[]
}

/** The answer to it. */
export interface OwnershipReply {
  /** Whether the answerer will not declare the sender silent for a whole takeover time. */
  heard: boolean
  /** Feed rows that are newer than the sender's. */
  rows: OwnershipRow[]
}

/** Options of {@linkcode createOwnershipExchange}. */
export interface CreateOwnershipExchangeOptions {
  /** Returns the name of this instance. */
  getInstance: () => string
  /** Finds the last record of an instance, also where it has not been heard of lately. */
  findInstance: (instance: string) => InstanceRecord | undefined
  /** The other instances. */
  peers: PeerClient
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
  /** Lists the rows known. */
  listRows: () => OwnershipRow[]
  /** Takes a row over unless a newer one is known. */
  mergeRow: (row: OwnershipRow) => void
  /** Takes note that an instance spoke; returns whether it may count on not being declared silent. */
  recordHeard: (instance: string) => boolean
  /** Takes note that an instance has heard of this one, by the time at which it was told. */
  recordHeardBy: (instance: string, sentAtMs: number) => void
}

/** The exchange. */
export interface OwnershipExchange {
  /** Tells an instance of this one, and learns the rows that are newer there. */
  exchangeWith (instance: string): Promise<void>
  /** Tells the instances that a row concerns, so that a hand-over need not wait for their next poll. */
  spreadRow (row: OwnershipRow): Promise<void>
  /** Answers another feeder. */
  handleExchange (params: unknown): OwnershipReply
}

/**
 * Creates the exchange of an instance.
 *
 * @param options What it reads and calls
 * @returns The exchange
 */
export function createOwnershipExchange (options: CreateOwnershipExchangeOptions): OwnershipExchange {
  async function exchangeRows (instance: string, rows: OwnershipRow[]): Promise<void> {
    const record = options.findInstance(instance)
    if (record === undefined) return
    const sentAtMs = options.getNowMs()
    const params: OwnershipMessage = { instance: options.getInstance(), revisions: getRevisions(), rows }
    const reply = await options.peers.call<OwnershipReply>(record.peerAddress, ownershipMethod, { params, timeoutMs: exchangeTimeoutMs })
    if (reply.isErr()) return
    reply.value.rows.forEach(options.mergeRow)
    if (reply.value.heard) options.recordHeardBy(instance, sentAtMs)
  }

  function getRevisions (): Record<string, number> {
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
      const heard = options.recordHeard(message.instance)
      message.rows.forEach(options.mergeRow)
      return { heard, rows: options.listRows().filter(row => row.revision > (message.revisions[row.failureDomain] ?? 0)) }
    }
  }
}
