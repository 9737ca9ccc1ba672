/**
 * Bounds the bytes that the exchange of knowledge with peers takes.
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
  /** Bytes of requests and answers that may be spent each second in the long run. */
  bytesPerSecond: number
  /** Whether the instance has learnt the documents since its start; until then nothing is held back. */
  isReady: () => boolean
  /** Counts bytes that were spent. */
  countBytes: (bytes: number) => void
  /** Counts an exchange that was left out. */
  countSkipped: () => void
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/**
 * Creates a client that leaves exchanges out while their budget is spent.
 *
 * What an exchange has begun to fetch is fetched and charged. An exchange that is left out is made up for by a
 * later one, since each tells all that differs; the platform's rows are polled all the same.
 *
 * @param peers The client that carries the calls
 * @param options The budget
 * @returns The client
 */
export function createBudgetedPeers (peers: PeerClient, options: CreateBudgetedPeersOptions): PeerClient {
  const { bytesPerSecond, getNowMs } = options
  const budget = createByteBudget({ bytesPerSecond, burstBytes: bytesPerSecond * burstSeconds }, getNowMs())
  return {
    async call (address, method, call) {
      if (method === PeerMethodName.Exchange && options.isReady() && !budget.hasLeft(getNowMs())) {
        options.countSkipped()
        return err({ kind: PeerFailureKind.Refused, detail: 'Budget of control bytes is spent' })
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
