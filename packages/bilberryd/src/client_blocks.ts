/**
 * Keeps the map of client blocks of an instance current: differences by revision, else a snapshot.
 *
 * Decoding runs in slices between which requests are served. A map that is damaged is refused whole,
 * and the last good one stays in use.
 *
 * @module
 */
import type { ClientBlocksLoad, Platform } from '@bilberryworks/platform'
import type { ClientBlocks } from '@bilberryworks/steering'
import { setTimeout } from 'node:timers/promises'
import { loadClientBlocks } from '@bilberryworks/platform'
import { createEmptyBlocks } from '@bilberryworks/steering'

/** Options of {@linkcode createClientBlocksLoader}. */
export interface CreateClientBlocksLoaderOptions {
  /** The platform. */
  platform: Platform
  /** Returns a random number from 0 to 1. */
  getRandom: () => number
  /** Counts an attempt. */
  countLoad: (load: ClientBlocksLoad) => void
  /** Called when a map comes into force or an attempt fails. */
  recordLoad: (load: ClientBlocksLoad, detail: string) => void
  /** Longest wait before a failed attempt is repeated, in milliseconds; 60 s by default. */
  maxRetryMs?: number
}

/** The map of an instance. */
export interface ClientBlocksLoader extends AsyncDisposable {
  /** Returns the map in force. */
  getBlocks (): ClientBlocks
  /** Takes note of the revision that the index row names; returns at once. */
  observeRevision (revision: number): void
  /** Waits until no attempt is under way. */
  wait (): Promise<void>
}

const firstRetryMs = 1_000
const defaultMaxRetryMs = 60_000

/**
 * Creates a loader with an empty map.
 *
 * @param options Where to load from
 * @returns The loader; dispose it to stop loading
 */
export function createClientBlocksLoader (options: CreateClientBlocksLoaderOptions): ClientBlocksLoader {
  const { platform, maxRetryMs = defaultMaxRetryMs } = options
  const stopController = new AbortController()
  let blocks = createEmptyBlocks()
  let wantedRevision = 0
  let loading: Promise<void> | undefined
  let retryInterruption = new AbortController()

  async function loadUntilCurrent (): Promise<void> {
    for (let failures = 0; wantedRevision > blocks.revision && !stopController.signal.aborted;) {
      const loaded = await loadClientBlocks(platform, { base: blocks, wanted: wantedRevision })
      if (stopController.signal.aborted) return
      if (loaded.isOk()) {
        blocks = loaded.value.blocks
        failures = 0
        recordLoad(loaded.value.load, `Client blocks of revision ${blocks.revision} are in force`)
        continue
      }
      recordLoad(loaded.error.load, loaded.error.detail)
      const retryMs = Math.min(maxRetryMs, firstRetryMs * 2 ** failures++) * (0.5 + options.getRandom() / 2)
      retryInterruption = new AbortController()
      await setTimeout(retryMs, undefined, { signal: AbortSignal.any([stopController.signal, retryInterruption.signal]) }).catch(() => {})
    }
  }

  function recordLoad (load: ClientBlocksLoad, detail: string): void {
    options.countLoad(load)
    options.recordLoad(load, detail)
  }

  return {
    getBlocks: () => blocks,
    observeRevision (revision) {
      if (revision > wantedRevision) retryInterruption.abort()
      wantedRevision = Math.max(wantedRevision, revision)
      if (wantedRevision <= blocks.revision || loading !== undefined) return
      loading = loadUntilCurrent().finally(() => { loading = undefined })
    },
    async wait () {
      await loading
    },
    async [Symbol.asyncDispose] () {
      stopController.abort()
      await loading
    }
  }
}
