/**
 * Finds the rows that peers kept when the store came back from an older copy. An instance that starts after that reads the
 * older copy, and learns of the kept rows from no feed until their writers write them again.
 *
 * @module
 */
import type { EntryState } from './entry_state.ts'
import type { PeerHeartbeat } from './peer_view.ts'
import { getStoreEra } from '@bilberryworks/steering'
import { ReplicatedTable } from './replicated_table.ts'

/** Options of {@linkcode createKeptRowsFetch}. */
export interface CreateKeptRowsFetchOptions {
  /** Replicated tables. */
  state: EntryState
  /** Lists the latest heartbeats of the live peers, nearest first. */
  listPeers: () => PeerHeartbeat[]
  /** Fetches all rows from a peer. */
  fetchRows: (peer: PeerHeartbeat) => Promise<void>
}

/** Key under which the versions in a heartbeat state the number of kept rows; absent if there are none, and in heartbeats of earlier versions. */
const keptKey = 'kept'

/**
 * Returns what a heartbeat states of the tables of an instance.
 *
 * @param state Replicated tables
 * @returns The version of each table, and the number of kept rows if there are any
 */
export function describeTables (state: EntryState): Record<string, number> {
  const versions = Object.fromEntries(Object.values(ReplicatedTable).map(table => [table, state.getTable(table).getVersion()]))
  const kept = countKept(state)
  return kept > 0 ? { ...versions, [keptKey]: kept } : versions
}

/**
 * Creates the function that starts a fetch if a peer has kept more operators' rows than this instance; to be called at
 * short intervals. Each run of a peer is asked once.
 *
 * @param options Tables, peers, and how to fetch
 * @returns The function
 */
export function createKeptRowsFetch ({ state, listPeers, fetchRows }: CreateKeptRowsFetchOptions): () => void {
  const asked = new Set<string>()
  let isFetching = false

  function hasMoreRows ({ instance, startedAtMs, versions }: PeerHeartbeat): boolean {
    const isSameEra = getStoreEra(versions[ReplicatedTable.Operator] ?? 0) === getStoreEra(state.getTable(ReplicatedTable.Operator).getAsOf())
    return isSameEra && (versions[keptKey] ?? 0) > countKept(state) && !asked.has(`${instance} ${startedAtMs}`)
  }

  return () => {
    if (isFetching) return
    const peer = listPeers().find(hasMoreRows)
    if (peer === undefined) return
    asked.add(`${peer.instance} ${peer.startedAtMs}`)
    isFetching = true
    const finish = (): void => { isFetching = false }
    fetchRows(peer).then(finish, finish)
  }
}

/** Counts operators' rows only: targets write theirs again within seconds. */
function countKept (state: EntryState): number {
  return state.getTable(ReplicatedTable.Operator).countKept()
}
