import type { PeerClient } from '@bilberryworks/instances'
import test from 'ava'
import { ok } from 'neverthrow'
import { createBudgetedPeers } from './budgeted_peers.ts'
import { PeerMethodName } from './gossip_messages.ts'

const messageBytes = 1_000
const bytesPerSecond = 100

async function simulateExchanges (isReady: boolean, method: PeerMethodName): Promise<{ sent: number, skipped: number, bytes: number }> {
  const counts = { sent: 0, skipped: 0, bytes: 0 }
  let nowMs = 0
  const peerClient = {
    async call (_address: string, _method: string, call: { recordBytes?: (bytes: number) => void }) {
      counts.sent++
      call.recordBytes?.(messageBytes)
      return ok({})
    }
  } as unknown as PeerClient
  const peers = createBudgetedPeers(peerClient, {
    bytesPerSecond, isReady: () => isReady, countBytes: bytes => { counts.bytes += bytes }, countSkipped: () => { counts.skipped++ }, getNowMs: () => nowMs
  })
  for (; nowMs < 100_000; nowMs += 1_000) await peers.call('a:1', method, { params: {} })
  return counts
}

test('skips and counts the exchanges that exceed the byte budget', async t => {
  const { sent, skipped, bytes } = await simulateExchanges(true, PeerMethodName.Exchange)
  t.true(bytes <= 132 * bytesPerSecond + messageBytes && bytes >= 120 * bytesPerSecond, `${bytes} bytes`)
  t.deepEqual([sent + skipped, bytes], [100, sent * messageBytes])
})

test('skips no exchange before the instance is ready, and never a fetch', async t => {
  t.is((await simulateExchanges(false, PeerMethodName.Exchange)).sent, 100)
  t.is((await simulateExchanges(true, PeerMethodName.Fetch)).sent, 100)
})
