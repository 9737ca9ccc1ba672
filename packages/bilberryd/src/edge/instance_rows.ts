/**
 * The rows by which instances find each other at their start.
 *
 * @module
 */
import type { StoreClient } from '@bilberryworks/users-platform'
import type { EntryLog } from './entry_log.ts'
import type { PeerHeartbeat, PeerView } from './peer_view.ts'
import { setTimeout as wait } from 'node:timers/promises'
import { parseHeartbeat } from './peer_view.ts'

/** Options of {@linkcode createInstanceRows}. */
export interface CreateInstanceRowsOptions {
  /** The store. */
  store: StoreClient
  /** The peers. */
  view: PeerView
  /** Log of what is believed. */
  log: EntryLog
}

/** The rows of the instances. */
export interface InstanceRows {
  /** Writes the instance's own row, then reads those of the others; goes on trying for a bounded time. */
  join (own: PeerHeartbeat): Promise<void>
}

const instanceTable = 'instances'
/** Time after which an answer counts as lost, in milliseconds. */
const storeCallTimeoutMs = 1_000
/** Pause between two tries, in milliseconds, and their number: peers tell of each other besides, so that rows matter at the first start only. */
const joinRetryDelayMs = 1_500
const maxJoinAttempts = 20

/**
 * Creates the client of the rows.
 *
 * The own row is written first: of two instances that start together, the later reader finds the other's row.
 *
 * @param options The store and the peers
 * @returns The client
 */
export function createInstanceRows (options: CreateInstanceRowsOptions): InstanceRows {
  const { store, view, log } = options

  async function joinOnce (own: PeerHeartbeat): Promise<string | undefined> {
    const written = await store.writeRows([{ table: instanceTable, key: own.instance, text: JSON.stringify(own) }], { timeoutMs: storeCallTimeoutMs })
    if (written.isErr()) return written.error.detail
    const read = await store.readRows(instanceTable, { timeoutMs: storeCallTimeoutMs })
    if (read.isErr()) return read.error.detail
    for (const row of read.value.rows) {
      const heartbeat = parseHeartbeat(row.text ?? '')
      if (heartbeat === undefined) log.warn('instance_undecodable', { key: row.key })
      else view.addReported(heartbeat, performance.now())
    }
    return undefined
  }

  return {
    async join (own) {
      for (let tries = 0; tries < maxJoinAttempts; tries++) {
        const failure = await joinOnce(own)
        if (failure === undefined) return
        log.info('join_delayed', { detail: failure })
        await wait(joinRetryDelayMs, undefined, { ref: false })
      }
    }
  }
}
