import test from 'ava'
import { createPeerView } from './peer_view.ts'
import { createRelayPeers } from './relay_peers.ts'

const address = { host: '10.0.0.1', port: 1 }

test('an instance that has refused a request for want of a path is not taken for one that reaches these targets', t => {
  let nowMs = 0
  const view = createPeerView({ instance: 'own', getTimeoutMs: () => 3_000, evictionMs: 60_000 })
  view.recordHeartbeat({ instance: 'p', startedAtMs: 1, sequence: 1, failureDomain: 'a', region: 'r', callers: 'p:1', heartbeats: address, peers: address, isReady: true, versions: {}, demand: {} }, nowMs)
  const peers = createRelayPeers({ region: 'r', view, isEnabled: true, getNowMs: () => nowMs, getRandom: () => 0 })
  const findPeer = (groups: string[]): string | undefined => peers.choose(groups, { homeRegions: [], tried: new Set() })?.instance
  t.true(peers.isReached('s/a'))
  peers.recordUnreached('p', ['s/a', 's/b'])
  t.false(peers.isReached('s/a'))
  t.is(findPeer(['s/a', 's/b']), undefined)
  t.is(findPeer(['s/a', 's/c']), 'p')
  nowMs = 1_000
  t.true(peers.isReached('s/a'))
  t.is(findPeer(['s/a']), 'p')
})
