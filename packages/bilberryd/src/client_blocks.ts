/**
 * Keeps the client block map of an instance up to date. The map assigns client address blocks to sites; an update loads
 * the differences since the current revision or, without them, a complete snapshot.
 *
 * Decoding runs in slices so that the event loop can serve requests in between. A damaged map is rejected as a whole,
 * and the last valid map stays in use.
 *
 * @module
 */
import type { ClientBlocksLoadResult, Platform } from '@bilberryworks/platform'
import type { ClientBlocks } from '@bilberryworks/steering'
import { setTimeout } from 'node:timers/promises'
import { loadClientBlocks } from '@bilberryworks/platform'
import { createEmptyClientBlocks } from '@bilberryworks/steering'

/** Options of {@linkcode createClientBlocksLoader}. */
export interface CreateClientBlocksLoaderOptions {
  /** The platform that stores the map. */
  platform: Platform
  /** Returns a random number from 0 to 1. */
  getRandom: () => number
  /** Counts a load attempt by its result. */
  countLoad: (load: ClientBlocksLoadResult) => void
  /** Called when a new map is in use or a load attempt has failed. */
  recordLoad: (load: ClientBlocksLoadResult, detail: string) => void
  /** Maximum back-off before a failed load is retried, in milliseconds; 60 s by default. */
  maxRetryMs?: number
}

/** Loads the client block map in the background and holds the current one. */
export interface ClientBlocksLoader extends AsyncDisposable {
  /** Returns the map in use. */
  getBlocks (): ClientBlocks
  /** Starts to load the revision that the platform's index row names, unless it is already in use; does not wait for the load. */
  observeRevision (revision: number): void
  /** Waits until no load is running. */
  wait (): Promise<void>
}

const firstRetryMs = 1_000
const defaultMaxRetryMs = 60_000

/**
 * Creates a loader with an empty map.
 *
 * @param options The platform to load from, counters and back-off
 * @returns The loader; dispose it to stop loading
 */
export function createClientBlocksLoader (options: CreateClientBlocksLoaderOptions): ClientBlocksLoader {
  const { platform, maxRetryMs = defaultMaxRetryMs } = options
  const stopController = new AbortController()
  let blocks = createEmptyClientBlocks()
  let wantedRevision = 0
  let currentLoad: Promise<void> | undefined
  let retryInterruption = new AbortController()

  async function loadUntilCurrent (): Promise<void> {
    for (let failures = 0; wantedRevision > blocks.revision && !stopController.signal.aborted;) {
      const loaded = await loadClientBlocks(platform, { base: blocks, revision: wantedRevision })
      if (stopController.signal.aborted) return
      if (loaded.isOk()) {
        blocks = loaded.value.blocks
        failures = 0
        recordLoad(loaded.value.load, `Loaded client block map of revision ${blocks.revision}`)
        continue
      }
      recordLoad(loaded.error.load, loaded.error.detail)
      const retryMs = Math.min(maxRetryMs, firstRetryMs * 2 ** failures++) * (0.5 + options.getRandom() / 2)
      retryInterruption = new AbortController()
      await setTimeout(retryMs, undefined, { signal: AbortSignal.any([stopController.signal, retryInterruption.signal]) }).catch(() => {})
    }
  }

  function recordLoad (load: ClientBlocksLoadResult, detail: string): void {
    options.countLoad(load)
    options.recordLoad(load, detail)
  }

  return {
    getBlocks: () => blocks,
    observeRevision (revision) {
      if (revision > wantedRevision) retryInterruption.abort()
      wantedRevision = Math.max(wantedRevision, revision)
      if (wantedRevision <= blocks.revision || currentLoad !== undefined) return
      currentLoad = loadUntilCurrent().finally(() => { currentLoad = undefined })
    },
    async wait () {
      await currentLoad
    },
    async [Symbol.asyncDispose] () {
      stopController.abort()
      await currentLoad
    }
  }
}
