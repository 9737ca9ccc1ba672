/**
 * Keeps what this instance sends to other regions within its share of the links.
 *
 * @module
 */
import type { LinkBudget, Refusal } from '@bilberryworks/steering'
import type { Result } from 'neverthrow'
import { Transform } from 'node:stream'
import { createLinkBudget, createNotRun, LinkPurpose, RefusalReason } from '@bilberryworks/steering'
import { err, ok } from 'neverthrow'

/** Options of {@linkcode createLinkGate}. */
export interface CreateLinkGateOptions {
  /** Region of this instance. */
  localRegion: string
  /** Capacity of the link to another region, in bits a second; `undefined` for one without a limit. */
  getLinkBitsPerSecond: (toRegion: string) => number | undefined
  /** Returns the largest number of instances of this region that may send at the same time. */
  countSenders: () => number
  /** Returns the monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** A body that is to be sent to another region. */
export interface LinkTransfer {
  /** Bytes of the body; `undefined` where they are not known. */
  bytes: number | undefined
  /** What it is for. */
  purpose: LinkPurpose
  /** Monotonic time by which it must have been sent, in milliseconds. */
  deadlineAtMs: number
}

/** The links of this instance to the other regions. Each sender counts what it sends, answers as well as requests. */
export interface LinkGate extends AsyncDisposable {
  /** Admits a transfer, or refuses it where the link can't carry it in time; the stream paces its body. */
  admitTransfer (toRegion: string, transfer: LinkTransfer): Result<Transform, Refusal>
  /** Takes bytes of the protocol between instances; returns whether they may be sent now. */
  takeControl (toRegion: string, bytes: number): boolean
  /** Counts the bytes sent to a region. */
  countSent (toRegion: string): number
}

/** A piece that waits for its turn. */
interface Waiter {
  bytes: number
  purpose: LinkPurpose
  /** Lets it pass. */
  resolve: () => void
}

/** The link to one region. */
interface Link {
  budget: LinkBudget | undefined
  bitsPerSecond: number | undefined
  senders: number
  /** Bytes admitted and not yet sent. */
  pendingBytes: number
  sentBytes: number
  waiting: Record<LinkPurpose, Waiter[]>
  timer: NodeJS.Timeout | undefined
}

const purposesByPriority = [LinkPurpose.Control, LinkPurpose.Request, LinkPurpose.Upload]
const minRetryAfterMs = 200

/**
 * Creates the gate of an instance.
 *
 * @param options The links and who shares them
 * @returns The gate; dispose it to stop its timers
 */
export function createLinkGate (options: CreateLinkGateOptions): LinkGate {
  const { getNowMs } = options
  const links = new Map<string, Link>()

  /** Finds a link; it gets a new budget, without a burst to spend at once, where the limit or the senders have changed. */
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
    while (budget.take(budget.maxPieceBytes, LinkPurpose.Control, getNowMs()) === 0);
  }

  /** Lets pieces pass, the most urgent first, and looks again when the next one may. */
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

  /** Sends a chunk in pieces, each when the budget lets it pass. */
  async function sendChunk (link: Link, chunk: Buffer, options: { purpose: LinkPurpose, write: (piece: Buffer) => void }): Promise<void> {
    for (let start = 0; start < chunk.length;) {
      const piece = chunk.subarray(start, start + (link.budget?.maxPieceBytes ?? chunk.length))
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
          const detail = `The link to region "${toRegion}" can't carry the body in time`
          const drainMs = link.pendingBytes / link.budget.bytesPerSecond * 1000
          return err(createNotRun(RefusalReason.LinkBudget, detail, Math.max(minRetryAfterMs, Math.ceil(drainMs))))
        }
      }
      return ok(createPacingStream(link, transfer))
    },
    takeControl (toRegion, bytes) {
      const link = getLink(toRegion)
      if (link.budget !== undefined && link.budget.take(bytes, LinkPurpose.Control, getNowMs()) > 0) return false
      link.sentBytes += bytes
      return true
    },
    countSent: toRegion => links.get(toRegion)?.sentBytes ?? 0,
    async [Symbol.asyncDispose] () {
      for (const link of links.values()) clearTimeout(link.timer)
    }
  }
}

function createLink (): Link {
  const waiting = { [LinkPurpose.Control]: [], [LinkPurpose.Request]: [], [LinkPurpose.Upload]: [] }
  return { budget: undefined, bitsPerSecond: undefined, senders: 0, pendingBytes: 0, sentBytes: 0, waiting, timer: undefined }
}
