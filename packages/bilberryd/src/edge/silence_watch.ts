/**
 * Watches, while requests wait for responses, whether all targets have fallen silent.
 *
 * @module
 */
import type { PendingExchange } from '@bilberryworks/steering'
import { createResponseSilence } from '@bilberryworks/steering'

/** Options of {@linkcode createSilenceWatch}. */
export interface CreateSilenceWatchOptions {
  /** Lists the requests that wait for the response of a target. */
  listPending: () => PendingExchange[]
  /** Called with the number of pending requests and the time without a response that counts as silence, in milliseconds. */
  onSilence: (pending: number, limitMs: number) => void
  /** Returns monotonic time, in milliseconds. */
  getNowMs: () => number
}

/** Watches for silence. */
export interface SilenceWatch extends AsyncDisposable {
  /** Records that a request was sent. */
  recordSend (): void
  /** Records that a part of a response was received. */
  recordResponse (): void
}

/** Time by which a timer may be late before the process counts as paused, in milliseconds; responses may then wait to be read. */
const maxTimerDelayMs = 150

/**
 * Creates a watch, whose timer runs while requests are pending.
 *
 * @param options Pending requests, callback and clock
 * @returns The watch; dispose it to stop its timer for good
 */
export function createSilenceWatch ({ listPending, onSilence, getNowMs }: CreateSilenceWatchOptions): SilenceWatch {
  const silence = createResponseSilence(getNowMs())
  let timer: NodeJS.Timeout | undefined
  let isClosed = false

  function checkSilence (plannedAtMs: number): void {
    timer = undefined
    const nowMs = getNowMs()
    const pending = listPending()
    if (pending.length === 0) return
    const limitMs = silence.getLimitMs()
    const isLate = nowMs - plannedAtMs > maxTimerDelayMs
    if (!isLate && silence.isSilent(pending, nowMs)) onSilence(pending.length, limitMs)
    startTimer()
  }

  function startTimer (): void {
    if (isClosed) return
    const waitMs = silence.computeWaitMs(getNowMs())
    timer = setTimeout(checkSilence, waitMs, getNowMs() + waitMs)
  }

  return {
    recordSend () {
      if (timer === undefined) startTimer()
    },
    recordResponse: () => silence.recordResponse(getNowMs()),
    async [Symbol.asyncDispose] () {
      isClosed = true
      clearTimeout(timer)
    }
  }
}
