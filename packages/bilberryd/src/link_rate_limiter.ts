/**
 * Limits the rate of this instance's traffic to other regions, so that it stays within the instance's share of each link.
 *
 * @module
 */
import type { LinkBudget, Refusal } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { Transform } from 'node:stream'
import { createLinkBudget, createNotRunRefusal, LinkPurpose, RefusalReason } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'

/** Options of {@linkcode createLinkRateLimiter}. */
export interface CreateLinkRateLimiterOptions {
  /** Region of this instance. */
  localRegion: string
  /** Returns the capacity of the link to another region, in bits per second; `undefined` for an unlimited link. */
  getLinkBitsPerSecond: (toRegion: string) => number | undefined
  /** Returns the maximum number of instances of this region that may send at the same time and so share a link. */
  countSenders: () => number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** A body to be sent to another region. */
export interface LinkTransfer {
  /** Length of the body in bytes; `undefined` when not known. */
  bytes: number | undefined
  /** Purpose of the transfer, which sets its priority. */
  purpose: LinkPurpose
  /** Monotonic time by which the body must have been sent, in milliseconds. */
  deadlineAtMs: number
}

/** Rate limits of this instance on the links to other regions. Each instance accounts for the bytes that it sends, in requests as well as in responses. */
export interface LinkRateLimiter extends AsyncDisposable {
  /** Admits a transfer and returns the stream that paces its body, or refuses it when the body can't be sent before the deadline. A body of unknown length is always admitted. */
  admitTransfer (toRegion: string, transfer: LinkTransfer): Result<Transform, Refusal>
  /** Returns the number of bytes sent to a region. */
  getSentBytes (toRegion: string): number
}

/** A piece of a body that waits for the budget of its link. */
interface Waiter {
  bytes: number
  purpose: LinkPurpose
  /** Lets the piece be sent. */
  resolve: () => void
}

/** The link to one region. */
interface Link {
  budget: LinkBudget | undefined
  bitsPerSecond: number | undefined
  senders: number
  /** Bytes of admitted transfers that are not sent yet. */
  pendingBytes: number
  sentBytes: number
  waiting: Record<LinkPurpose, Waiter[]>
  timer: NodeJS.Timeout | undefined
}

const purposesByPriority = [LinkPurpose.Control, LinkPurpose.Request, LinkPurpose.Upload]
const minRetryAfterMs = 200

/**
 * Creates the rate limits of an instance.
 *
 * @param options The links, the number of instances that share them and the clock
 * @returns The rate limits; dispose them to stop their timers
 */
export function createLinkRateLimiter (options: CreateLinkRateLimiterOptions): LinkRateLimiter {
  const { getNowMs } = options
  const links = new Map<string, Link>()

  /** Returns a link. When its capacity or the number of senders has changed, it gets a new budget that starts empty, so that a change allows no extra burst. */
  function getLink (toRegion: string): Link {
    const bitsPerSecond = toRegion === options.localRegion ? undefined : options.getLinkBitsPerSecond(toRegion)
    const senders = options.countSenders()
    const known = links.get(toRegion)
    if (known !== undefined && known.bitsPerSecond === bitsPerSecond && known.senders === senders) return known
    const link = known ?? createLink()
    links.set(toRegion, link)
    const hadBudget = link.budget !== undefined
    Object.assign(link, { bitsPerSecond, senders })
    link.budget = bitsPerSecond === undefined ? undefined : createLinkBudget({ linkBitsPerSecond: bitsPerSecond, senders })
    if (hadBudget && link.budget !== undefined) drainBudget(link.budget)
    return link
  }

  function drainBudget (budget: LinkBudget): void {
    while (budget.take(budget.maxChunkBytes, LinkPurpose.Control, getNowMs()) === 0);
  }

  /** Sends waiting pieces by priority while the budget allows, then sets a timer for the next one. */
  function releaseWaiters (link: Link): void {
    clearTimeout(link.timer)
    for (const purpose of purposesByPriority) {
      for (let next = link.waiting[purpose][0]; next !== undefined; next = link.waiting[purpose][0]) {
        const waitMs = link.budget?.take(next.bytes, purpose, getNowMs()) ?? 0
        if (waitMs > 0) {
          link.timer = setTimeout(() => releaseWaiters(link), Math.ceil(waitMs))
          return
        }
        link.waiting[purpose].shift()
        next.resolve()
      }
    }
  }

  async function waitForTurn (link: Link, waiter: Omit<Waiter, 'resolve'>): Promise<void> {
    return new Promise(resolve => {
      link.waiting[waiter.purpose].push({ ...waiter, resolve })
      releaseWaiters(link)
    })
  }

  /** Sends a chunk in pieces, each as soon as the budget allows. */
  async function sendChunk (link: Link, chunk: Buffer, options: { purpose: LinkPurpose, write: (piece: Buffer) => void }): Promise<void> {
    for (let start = 0; start < chunk.length;) {
      const piece = chunk.subarray(start, start + (link.budget?.maxChunkBytes ?? chunk.length))
      if (link.budget !== undefined) await waitForTurn(link, { bytes: piece.length, purpose: options.purpose })
      link.sentBytes += piece.length
      options.write(piece)
      start += piece.length
    }
  }

  function createPacingStream (link: Link, transfer: LinkTransfer): Transform {
    let pendingBytes = transfer.bytes ?? 0
    link.pendingBytes += pendingBytes
    return new Transform({
      transform (chunk: Buffer, _encoding, done) {
        const write = (piece: Buffer): void => {
          const countedBytes = Math.min(piece.length, pendingBytes)
          pendingBytes -= countedBytes
          link.pendingBytes -= countedBytes
          this.push(piece)
        }
        sendChunk(link, chunk, { purpose: transfer.purpose, write }).then(() => done(), done)
      },
      destroy (error, done) {
        link.pendingBytes -= pendingBytes
        pendingBytes = 0
        done(error)
      }
    })
  }

  return {
    admitTransfer (toRegion, transfer) {
      const link = getLink(toRegion)
      if (link.budget !== undefined && transfer.bytes !== undefined) {
        const sendMs = (link.pendingBytes + transfer.bytes) / link.budget.bytesPerSecond * 1000
        if (getNowMs() + sendMs > transfer.deadlineAtMs) {
          const detail = `The link to region "${toRegion}" can't carry the body before the deadline`
          const drainMs = link.pendingBytes / link.budget.bytesPerSecond * 1000
          return err(createNotRunRefusal(RefusalReason.LinkBudget, detail, Math.max(minRetryAfterMs, Math.ceil(drainMs))))
        }
      }
      return ok(createPacingStream(link, transfer))
    },
    getSentBytes: toRegion => links.get(toRegion)?.sentBytes ?? 0,
    async [Symbol.asyncDispose] () {
      for (const link of links.values()) clearTimeout(link.timer)
    }
  }
}

function createLink (): Link {
  const waiting = { [LinkPurpose.Control]: [], [LinkPurpose.Request]: [], [LinkPurpose.Upload]: [] }
  return { budget: undefined, bitsPerSecond: undefined, senders: 0, pendingBytes: 0, sentBytes: 0, waiting, timer: undefined }
}
