import type { StoreState } from './_store_model.ts'
import type { TableReplica } from './table_replica.ts'
import type { UnconfirmedRows } from './unconfirmed_rows.ts'
import { createCatchUp } from '@bilberryworks/steering'
import test from 'ava'
import { copyState, isOutdated, readStore, writeRow } from './_store_model.ts'
import { ReplicatedTable } from './replicated_table.ts'
import { createTableReplica } from './table_replica.ts'
import { createUnconfirmedRows } from './unconfirmed_rows.ts'

const seed = 20261204
const tickMs = 50
const awayAtMs = 10_000
const endMs = 26_000
const rows = 40
/** Time within which writers write again what the store has lost, in milliseconds. */
const rewriteMs = 2_000
/** Bound for the last lost row to be everywhere: a fetch after the next heartbeats, also between regions. */
const settleMs = 6_000

interface Node {
  region: number
  isDenied: boolean
  readLagMs: number
  phase: number
  replica: TableReplica
  beliefs: Map<string, number>
  seen: Map<number, number>
  catchUp: ReturnType<typeof createCatchUp>
  fetch: { peer: number, endsAtMs: number } | undefined
  unconfirmed: UnconfirmedRows
}

interface FleetResult {
  /** Whether any instance went back to an earlier state of a row. */
  wentBack: boolean
  /** Number of instances that differ from what the writers last wrote, at the end. */
  differing: number
  /** Rows that instances fetched from peers, and the number of instances turned away by the store or cut off. */
  fetchedRows: number
  denied: number
}

/** Options of {@linkcode simulateRestoration}. */
interface SimulateRestorationOptions {
  /** Whether a failure domain, a sixth of the instances, is cut off from the store and all others around the restoration. */
  isCut: boolean
  getRandom: () => number
}

function createRandom (start: number): () => number {
  let state = start >>> 0
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 0x1_0000_0000
  }
}

/** Simulates a fleet of which the store turns a third away, and then goes away and returns from a copy while rows change and instances restart. */
function simulateRestoration (instances: number, { isCut, getRandom }: SimulateRestorationOptions): FleetResult {
  const store: StoreState = { era: 0, counter: 1, rows: new Map(), changes: [] }
  const copies: StoreState[] = []
  const truth = new Map<string, string>()
  const rewritesAtMs = new Map<string, number>()
  const returnsAtMs = awayAtMs + 500 + getRandom() * 1_000
  const result: FleetResult = { wentBack: false, differing: 0, fetchedRows: 0, denied: 0 }
  let order = 0
  const cutFromMs = isCut ? awayAtMs - getRandom() * 2_000 : Infinity
  const cutUntilMs = isCut ? returnsAtMs + getRandom() * 4_000 : -Infinity

  const isCutOff = (index: number): boolean => isCut && index % 6 === 5 && nowMs >= cutFromMs && nowMs < cutUntilMs
  const canReach = (a: number, b: number): boolean => isCutOff(a) === isCutOff(b)

  const createNode = (index: number): Node => {
    const node: Node = {
      region: index % 3,
      isDenied: index % 3 === 1,
      readLagMs: 100 + getRandom() * 600,
      phase: Math.floor(getRandom() * 20),
      replica: createTableReplica({ isOutdated, onRestored: () => node.unconfirmed.start(ReplicatedTable.Targets, nowMs) }),
      beliefs: new Map(),
      seen: new Map(),
      catchUp: createCatchUp({ storeDelayMs: 1_500, getRandom }),
      fetch: undefined,
      unconfirmed: createUnconfirmedRows()
    }
    return node
  }
  let nowMs = 0
  const nodes = Array.from({ length: instances }, (_, index) => createNode(index))
  result.denied = nodes.filter((node, index) => node.isDenied || (isCut && index % 6 === 5)).length

  function recordBeliefs (node: Node): void {
    for (const { key, text } of node.replica.list()) {
      if (Number(text) < (node.beliefs.get(key) ?? 0)) result.wentBack = true
      node.beliefs.set(key, Number(text))
    }
  }

  function advanceStore (): void {
    const isAway = nowMs >= awayAtMs && nowMs < returnsAtMs
    if (isAway) return
    if (store.era === 0 && nowMs >= returnsAtMs) {
      Object.assign(store, copyState(copies[Math.floor(getRandom() * copies.length)]!), { era: 1 })
      for (const key of new Set([...truth.keys(), ...store.rows.keys()])) rewritesAtMs.set(key, nowMs + getRandom() * rewriteMs)
    }
    if (nowMs < awayAtMs && nowMs % 500 === 0) copies.push(copyState(store))
    if (copies.length > 10) copies.shift()
    for (const [key, atMs] of rewritesAtMs) {
      if (nowMs < atMs) continue
      rewritesAtMs.delete(key)
      if (store.rows.get(key)?.text !== truth.get(key)) writeRow(store, key, truth.get(key))
    }
    if (nowMs % 200 !== 0 || nowMs > endMs - settleMs || rewritesAtMs.size > 0) return
    const key = `row-${Math.floor(getRandom() * rows)}`
    if (getRandom() < 0.2) truth.delete(key)
    else truth.set(key, String(++order))
    writeRow(store, key, truth.get(key))
  }

  function advanceFetch (node: Node, index: number): void {
    if (node.fetch === undefined || nowMs < node.fetch.endsAtMs) return
    if (!canReach(index, node.fetch.peer)) {
      node.fetch = undefined
      node.catchUp.recordEnd(false, nowMs)
      return
    }
    const update = nodes[node.fetch.peer]!.replica.listSince(node.replica.getAsOf())
    node.fetch = undefined
    result.fetchedRows += update.changes.length
    node.replica.merge(update)
    node.catchUp.recordEnd(true, nowMs)
  }

  function startFetch (node: Node): void {
    const peersAhead = [...node.seen].filter(([, version]) => version > node.replica.getAsOf()).map(([peer]) => ({ instance: String(peer), distance: nodes[peer]!.region === node.region ? 1 : 2 }))
    const chosen = node.catchUp.choosePeer({ peersAhead, ownVersion: node.replica.getVersion(), isStoreReachable: !node.isDenied && !isCutOff(nodes.indexOf(node)), nowMs })
    if (chosen !== undefined) node.fetch = { peer: Number(chosen), endsAtMs: nowMs + (nodes[Number(chosen)]!.region === node.region ? 2 : 112) }
  }

  function sendHeartbeats (index: number, isRemoteRound: boolean): void {
    const node = nodes[index]!
    for (const [other, peer] of nodes.entries()) if (peer !== node && canReach(index, other) && (isRemoteRound || peer.region === node.region)) peer.seen.set(index, node.replica.getVersion())
  }

  /** Restarts an instance, which asks three peers for all rows. */
  function runAgain (index: number): void {
    nodes[index] = { ...createNode(index), isDenied: nodes[index]!.isDenied }
    const peers = [1, 2, 3].map(distance => (index + distance) % instances).filter(peer => canReach(index, peer))
    for (const peer of peers) nodes[index]!.replica.merge(nodes[peer]!.replica.listSince(0))
  }

  for (; nowMs < endMs; nowMs += tickMs) {
    advanceStore()
    for (const [index, node] of nodes.entries()) {
      const tick = nowMs / tickMs
      const isReadable = !node.isDenied && !isCutOff(index) && (nowMs < awayAtMs || nowMs >= returnsAtMs)
      if (isReadable && tick % Math.round(node.readLagMs / tickMs) === 0) node.replica.merge(readStore(store, node.replica))
      advanceFetch(node, index)
      if (node.fetch === undefined && tick % 5 === node.phase % 5) startFetch(node)
      if (tick % 20 === node.phase) sendHeartbeats(index, tick % 40 === node.phase)
      node.unconfirmed.expire(ReplicatedTable.Targets, node.replica, nowMs)
      recordBeliefs(node)
    }
    if (nowMs > returnsAtMs && nowMs <= returnsAtMs + 1_000 && nowMs % 500 === 0) runAgain(Math.floor(getRandom() * instances))
  }
  const expected = JSON.stringify([...truth].toSorted())
  result.differing = nodes.filter(node => JSON.stringify(node.replica.list().map(({ key, text }) => [key, text]).toSorted()) !== expected).length
  return result
}

for (const [instances, isCut] of [[7, false], [77, false], [7, true], [77, true]] as const) {
  test(`${instances} instances, some turned away by the store${isCut ? ' and some cut off' : ''}, go back nowhere and agree after it was restored`, t => {
    for (let run = 0; run < 20; run++) {
      const result = simulateRestoration(instances, { isCut, getRandom: createRandom(seed + run) })
      t.like(result, { wentBack: false, differing: 0 }, `run ${run}: ${JSON.stringify(result)}`)
      // Each instance that is turned away gets the changes about once, and all rows after the restoration.
      const changes = endMs / 200
      t.true(result.fetchedRows <= result.denied * 2 * (changes + rows) + instances * rows, `run ${run}: ${JSON.stringify(result)}`)
    }
    t.log(`seed ${seed}`)
  })
}
