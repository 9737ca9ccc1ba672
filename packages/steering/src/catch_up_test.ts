import test from 'ava'
import { catchUpDelayMs, createCatchUp } from './catch_up.ts'

const seed = 20261204
const tickMs = 50
const storeDelayMs = 1_200

/** Size of a fetch, in bytes: its headers, and one row. */
const fetchBytes = 400
const rowBytes = 350
/** The slowest link of an instance, and the share that fetches may take beside the requests of callers, in bytes a millisecond. */
const linkBytesPerMs = 14_000 / 8 / 4
const callTimeoutMs = 2_500

interface Fleet {
  instances: number
  rowsPerSecond: number
  deniedShare: number
  lostShare: number
}

interface FleetResult {
  /** Longest time for which an instance lacked a row that others had, in milliseconds. */
  maxLagMs: number
  /** Bytes of all fetches. */
  bytes: number
  /** Bytes of the rows that the instances without the store lacked. */
  neededBytes: number
  failures: number
  maxFetchesAtPeer: number
}

function createRandom (start: number): () => number {
  let state = start >>> 0
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 0x1_0000_0000
  }
}

/** Simulates a fleet in three regions whose store turns a part of the instances away for 9 s while rows change. */
function simulateFleet (fleet: Fleet, start: number): FleetResult {
  const getRandom = createRandom(start)
  const outageMs = 9_000
  const rowTimesMs = Array.from({ length: Math.round(outageMs / 1_000 * fleet.rowsPerSecond) }, (_, index) => index * 1_000 / fleet.rowsPerSecond)
  const nodes = Array.from({ length: fleet.instances }, (_, index) => ({
    region: index % 3,
    failureDomain: index % 9,
    isDenied: getRandom() < fleet.deniedShare,
    storeLagMs: getRandom() * 700,
    phase: Math.floor(getRandom() * 20),
    rows: 0,
    serving: 0,
    seen: new Map<number, number>(),
    catchUp: createCatchUp({ storeDelayMs, getRandom }),
    fetch: undefined as { peer: number, leftBytes: number, startedMs: number, rows: number, latencyMs: number } | undefined
  }))
  const result: FleetResult = { maxLagMs: 0, bytes: 0, neededBytes: nodes.filter(node => node.isDenied).length * rowTimesMs.length * rowBytes, failures: 0, maxFetchesAtPeer: 0 }

  function advanceFetch (node: typeof nodes[number], nowMs: number): void {
    const { fetch } = node
    if (fetch === undefined) return
    const peer = nodes[fetch.peer]!
    fetch.leftBytes -= linkBytesPerMs * tickMs / Math.max(1, peer.serving)
    const isComplete = fetch.leftBytes <= 0 && nowMs - fetch.startedMs >= fetch.latencyMs
    if (!isComplete && nowMs - fetch.startedMs < callTimeoutMs) return
    if (isComplete) node.rows = Math.max(node.rows, fetch.rows)
    else result.failures++
    peer.serving--
    node.fetch = undefined
    node.catchUp.recordEnd(isComplete, nowMs)
  }

  function startFetch (node: typeof nodes[number], index: number, nowMs: number): void {
    const peersAhead = [...node.seen].filter(([, rows]) => rows > node.rows).map(([peer]) => ({
      instance: String(peer),
      distance: nodes[peer]!.failureDomain === node.failureDomain ? 0 : nodes[peer]!.region === node.region ? 1 : 2
    }))
    const chosen = node.catchUp.choosePeer({ peersAhead, ownVersion: node.rows, isStoreReachable: !node.isDenied, nowMs })
    if (chosen === undefined) return
    const peer = nodes[Number(chosen)]!
    if (getRandom() < fleet.lostShare) {
      result.failures++
      node.catchUp.recordEnd(false, nowMs)
      return
    }
    const bytes = fetchBytes + (peer.rows - node.rows) * rowBytes
    result.bytes += bytes
    peer.serving++
    result.maxFetchesAtPeer = Math.max(result.maxFetchesAtPeer, peer.serving)
    node.fetch = { peer: Number(chosen), leftBytes: bytes, startedMs: nowMs, rows: peer.rows, latencyMs: peer.region === node.region ? 2 : 112 }
  }

  function sendHeartbeats (index: number, isRemoteRound: boolean): void {
    const node = nodes[index]!
    for (const other of nodes) if (other !== node && (isRemoteRound || other.region === node.region)) other.seen.set(index, node.rows)
  }

  for (let tick = 0; tick * tickMs < outageMs + 6_000; tick++) {
    const nowMs = tick * tickMs
    for (const [index, node] of nodes.entries()) {
      if (!node.isDenied) node.rows = Math.max(node.rows, rowTimesMs.filter(timeMs => timeMs <= nowMs - node.storeLagMs).length)
      advanceFetch(node, nowMs)
      if (tick % 20 === node.phase) sendHeartbeats(index, Math.floor(tick / 20) % 2 === 0)
      if (tick % 5 === node.phase % 5) startFetch(node, index, nowMs)
      const oldestMissingMs = rowTimesMs[node.rows]
      if (oldestMissingMs !== undefined && node.isDenied) result.maxLagMs = Math.max(result.maxLagMs, nowMs - oldestMissingMs)
    }
  }
  return result
}

for (const [instances, rowsPerSecond] of [[7, 5], [77, 30], [300, 60]] as const) {
  test(`${instances} instances, a third of them turned away by the store, have each row within 4 s and fetch it about once`, t => {
    for (let run = 0; run < 5; run++) {
      const result = simulateFleet({ instances, rowsPerSecond, deniedShare: 1 / 3, lostShare: 0.05 }, seed + run)
      t.true(result.maxLagMs <= 4_000, JSON.stringify(result))
      t.true(result.bytes <= 1.5 * result.neededBytes + fetchBytes * instances * 30, JSON.stringify(result))
      t.true(result.maxFetchesAtPeer <= Math.max(6, instances / 5), JSON.stringify(result))
    }
    t.log(`seed ${seed}`)
  })
}

test('fetches nothing from peers while the store delivers the changes in time', t => {
  const result = simulateFleet({ instances: 77, rowsPerSecond: 30, deniedShare: 0, lostShare: 0 }, seed)
  t.is(result.bytes, 0)
})

test('prefers peers in the same failure domain, then in the same region', t => {
  const catchUp = createCatchUp({ storeDelayMs, getRandom: () => 0.99 })
  const peersAhead = [{ instance: 'far', distance: 2 }, { instance: 'near', distance: 1 }, { instance: 'next', distance: 0 }]
  const options = { peersAhead, ownVersion: 0, isStoreReachable: false }
  t.is(catchUp.choosePeer({ ...options, nowMs: 0 }), undefined)
  t.is(catchUp.choosePeer({ ...options, nowMs: catchUpDelayMs }), 'next')
  t.is(catchUp.choosePeer({ ...options, nowMs: 10_000 }), undefined, 'one fetch at a time')
  catchUp.recordEnd(false, 10_000)
  t.is(catchUp.choosePeer({ ...options, nowMs: 10_000 }), undefined, 'pauses after a failure')
  t.is(catchUp.choosePeer({ ...options, nowMs: 11_000 }), 'near')
})

test('waits longer after each failure, and never more than 4 s', t => {
  const catchUp = createCatchUp({ storeDelayMs, getRandom: () => 0.999 })
  const peersAhead = Array.from({ length: 50 }, (_, index) => ({ instance: String(index), distance: 1 }))
  const pausesMs: number[] = []
  let failedAtMs = 0
  for (let nowMs = 0; pausesMs.length < 8; nowMs += 10) {
    if (catchUp.choosePeer({ peersAhead, ownVersion: 0, isStoreReachable: false, nowMs }) === undefined) continue
    pausesMs.push(nowMs - failedAtMs)
    failedAtMs = nowMs
    catchUp.recordEnd(false, nowMs)
  }
  t.deepEqual(pausesMs.slice(1), [250, 500, 1_000, 2_000, 4_000, 4_000, 4_000])
})
