/**
 * Carries one direction of a TCP connection with a delay, in order, with back-pressure.
 *
 * @module
 */
import type { Socket } from 'node:net'

const maxQueuedBytes = 4 * 1024 * 1024

/** Options of {@linkcode createDelayedStream}. */
export interface CreateDelayedStreamOptions {
  /** Delay of each byte, in milliseconds. */
  delayMs: number
  /** Monotonic time before which nothing can have been sent, in milliseconds. */
  readyAtMs: number
  /** Charges bytes to a link; returns the monotonic time at which they have left it, in milliseconds. */
  charge: (bytes: number) => number
  /** Whether the way is cut now, so that bytes are lost. */
  isCut: () => boolean
}

interface Parcel {
  /** The bytes; `undefined` for the end. */
  chunk: Buffer | undefined
  dueAtMs: number
}

/**
 * Carries what one socket receives to another.
 *
 * A clean end is handed on as such; anything else resets the other side. Once bytes were lost by a cut, nothing
 * more is carried, and the connection is reset by the first bytes after the cut.
 *
 * @param from Socket to read
 * @param to Socket to write
 * @param options Delay and link
 */
export function createDelayedStream (from: Socket, to: Socket, options: CreateDelayedStreamOptions): void {
  const parcels: Parcel[] = []
  let queuedBytes = 0
  let timer: NodeJS.Timeout | undefined
  let blocked = false
  let ended = false
  let lossy = false

  function addParcel (chunk: Buffer | undefined): void {
    if (options.isCut() || lossy) {
      if (lossy && !options.isCut()) from.resetAndDestroy()
      lossy = true
      return
    }
    const leftAtMs = options.charge(chunk?.length ?? 0)
    parcels.push({ chunk, dueAtMs: Math.max(leftAtMs, options.readyAtMs) + options.delayMs })
    queuedBytes += chunk?.length ?? 0
    if (queuedBytes > maxQueuedBytes) from.pause()
    sendDue()
  }

  function sendDue (): void {
    clearTimeout(timer)
    for (let parcel = parcels[0]; parcel !== undefined && !blocked; parcel = parcels[0]) {
      const leftMs = parcel.dueAtMs - performance.now()
      if (leftMs > 0) {
        timer = setTimeout(sendDue, leftMs)
        return
      }
      parcels.shift()
      sendParcel(parcel)
    }
  }

  function sendParcel ({ chunk }: Parcel): void {
    if (chunk === undefined) {
      to.end()
      return
    }
    queuedBytes -= chunk.length
    blocked = !to.write(chunk)
    if (queuedBytes <= maxQueuedBytes / 2) from.resume()
  }

  from.on('data', addParcel)
  from.once('end', () => {
    ended = true
    addParcel(undefined)
  })
  from.on('error', () => {})
  from.once('close', () => {
    if (!ended) to.resetAndDestroy()
  })
  to.on('drain', () => {
    blocked = false
    sendDue()
  })
  to.once('close', () => {
    clearTimeout(timer)
    if (!ended) from.resetAndDestroy()
  })
}
