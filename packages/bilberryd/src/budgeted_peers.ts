/**
 * Limits the bytes per second that gossip with peers uses.
 *
 * @module
 */
import type { PeerClient } from '@bilberryworks/instances'
import { PeerFailureKind } from '@bilberryworks/instances'
import { createByteBudget } from '@bilberryworks/steering'
import { err } from 'neverthrow'
import { PeerMethodName } from './gossip_messages.ts'

const burstSeconds = 32

/** Options of {@linkcode createBudgetedPeers}. */
export interface CreateBudgetedPeersOptions {
  /** Bytes of calls and replies per second that are allowed on average. */
  bytesPerSecond: number
  /** Whether the instance has loaded all service documents since its start; until then no exchange is skipped. */
  isReady: () => boolean
  /** Counts the bytes of a call and its reply. */
  countBytes: (bytes: number) => void
  /** Counts a gossip exchange that was skipped. */
  countSkipped: () => void
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/**
 * Creates a peer client that skips gossip exchanges while the byte budget is used up.
 *
 * Other calls, such as the fetches that follow an exchange, are never skipped but their bytes count towards the
 * budget. Skipping an exchange loses no updates: each exchange compares the complete state by its digests, so a later one
 * finds every difference, and the platform's rows are polled independently of gossip.
 *
 * @param peers The client that sends the calls
 * @param options The budget, counters and clock
 * @returns The limited client
 */
export function createBudgetedPeers (peers: PeerClient, options: CreateBudgetedPeersOptions): PeerClient {
  const { bytesPerSecond, getNowMs } = options
  const budget = createByteBudget({ bytesPerSecond, burstBytes: bytesPerSecond * burstSeconds }, getNowMs())
  return {
    async call (address, method, call) {
      if (method === PeerMethodName.Exchange && options.isReady() && !budget.hasRemaining(getNowMs())) {
        options.countSkipped()
        return err({ kind: PeerFailureKind.Refused, detail: 'Gossip exchange skipped because the budget of control bytes is used up' })
      }
      return peers.call(address, method, {
        ...call,
        recordBytes (bytes) {
          budget.charge(bytes, getNowMs())
          options.countBytes(bytes)
        }
      })
    },
    forward: peers.forward,
    [Symbol.asyncDispose]: () => peers[Symbol.asyncDispose]()
  }
}
