/**
 * Forwards one direction of a TCP connection with a delay, in order and with back-pressure.
 *
 * @module
 */
import type { Socket } from 'node:net'

const maxQueuedBytes = 4 * 1024 * 1024

/** Options of {@linkcode createDelayedStream}. */
export interface CreateDelayedStreamOptions {
  /** Delay of each byte, in milliseconds. */
  delayMs: number
  /** Monotonic time before which no byte can be sent, in milliseconds. */
  readyAtMs: number
  /** Charges bytes to a link; returns the monotonic time at which the last of them is transmitted, in milliseconds. */
  charge: (bytes: number) => number
  /** Returns whether a partition separates the two ends, so that received bytes are dropped. */
  isPartitioned: () => boolean
}

interface QueuedChunk {
  /** The bytes; `undefined` for the end of the stream. */
  chunk: Buffer | undefined
  dueAtMs: number
}

/**
 * Forwards the bytes that one socket receives to another socket.
 *
 * A clean end of one socket ends the other; any other close resets it. Bytes received during a partition are dropped.
 * After that, no later byte is forwarded either, and the first bytes received after the partition reset the connection.
 *
 * @param from Socket to read from
 * @param to Socket to write to
 * @param options Delay, link capacity and partition of the path
 */
export function createDelayedStream (from: Socket, to: Socket, options: CreateDelayedStreamOptions): void {
  const queue: QueuedChunk[] = []
  let queuedBytes = 0
  let timer: NodeJS.Timeout | undefined
  let isBlocked = false
  let hasEnded = false
  let hasLostBytes = false

  function addChunk (chunk: Buffer | undefined): void {
    if (options.isPartitioned() || hasLostBytes) {
      if (hasLostBytes && !options.isPartitioned()) from.resetAndDestroy()
      hasLostBytes = true
      return
    }
    const departureMs = options.charge(chunk?.length ?? 0)
    queue.push({ chunk, dueAtMs: Math.max(departureMs, options.readyAtMs) + options.delayMs })
    queuedBytes += chunk?.length ?? 0
    if (queuedBytes > maxQueuedBytes) from.pause()
    sendDueChunks()
  }

  function sendDueChunks (): void {
    clearTimeout(timer)
    for (let queued = queue[0]; queued !== undefined && !isBlocked; queued = queue[0]) {
      const remainingMs = queued.dueAtMs - performance.now()
      if (remainingMs > 0) {
        timer = setTimeout(sendDueChunks, remainingMs)
        return
      }
      queue.shift()
      sendChunk(queued)
    }
  }

  function sendChunk ({ chunk }: QueuedChunk): void {
    if (chunk === undefined) {
      to.end()
      return
    }
    queuedBytes -= chunk.length
    isBlocked = !to.write(chunk)
    if (queuedBytes <= maxQueuedBytes / 2) from.resume()
  }

  from.on('data', addChunk)
  from.once('end', () => {
    hasEnded = true
    addChunk(undefined)
  })
  from.on('error', () => {})
  from.once('close', () => {
    if (!hasEnded) to.resetAndDestroy()
  })
  to.on('drain', () => {
    isBlocked = false
    sendDueChunks()
  })
  to.once('close', () => {
    clearTimeout(timer)
    if (!hasEnded) from.resetAndDestroy()
  })
}
