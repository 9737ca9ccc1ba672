/**
 * Peer discovery at startup through a table of the store.
 *
 * @module
 */
import type { StoreClient } from '@bilberryworks/users-platform'
import type { EntryLog } from './entry_log.ts'
import type { PeerHeartbeat, PeerView } from './peer_view.ts'
import { setTimeout as wait } from 'node:timers/promises'
import { parseHeartbeat } from './peer_view.ts'

/** Options of {@linkcode createPeerDiscovery}. */
export interface CreatePeerDiscoveryOptions {
  /** The store. */
  store: StoreClient
  /** View of the peers, to which discovered instances are added. */
  view: PeerView
  /** Structured log. */
  log: EntryLog
}

/** Client of the table in which instances register themselves. */
export interface PeerDiscovery {
  /** Writes the instance's own row and reads the rows of the other instances; after a failure, retries a limited number of times and then resolves without an error. */
  join (ownHeartbeat: PeerHeartbeat): Promise<void>
}

const instanceTable = 'instances'
/** Time-out of a call to the store, in milliseconds. */
const storeCallTimeoutMs = 1_000
/** Delay after a failed attempt to join, in milliseconds, and maximum number of attempts; the limit is safe, since peers also report each other and the rows are needed only at the first start of a fleet. */
const joinRetryDelayMs = 1_500
const maxJoinAttempts = 20

/**
 * Creates a client of the instance table.
 *
 * The instance writes its own row before it reads, so that of two instances that start at the same time at least one
 * finds the row of the other.
 *
 * @param options Store and view of the peers
 * @returns The client
 */
export function createPeerDiscovery (options: CreatePeerDiscoveryOptions): PeerDiscovery {
  const { store, view, log } = options

  async function joinOnce (ownHeartbeat: PeerHeartbeat): Promise<string | undefined> {
    const written = await store.writeRows([{ table: instanceTable, key: ownHeartbeat.instance, text: JSON.stringify(ownHeartbeat) }], { timeoutMs: storeCallTimeoutMs })
    if (written.isErr()) return written.error.detail
    const read = await store.readRows(instanceTable, { timeoutMs: storeCallTimeoutMs })
    if (read.isErr()) return read.error.detail
    for (const row of read.value.rows) {
      const heartbeat = parseHeartbeat(row.text ?? '')
      if (heartbeat === undefined) log.warn('instance_undecodable', { key: row.key })
      else view.addReported(heartbeat, performance.now())
    }
    view.markComplete()
    return undefined
  }

  return {
    async join (ownHeartbeat) {
      for (let attempt = 0; attempt < maxJoinAttempts; attempt++) {
        const failure = await joinOnce(ownHeartbeat)
        if (failure === undefined) return
        log.info('join_delayed', { detail: failure })
        await wait(joinRetryDelayMs, undefined, { ref: false })
      }
    }
  }
}
