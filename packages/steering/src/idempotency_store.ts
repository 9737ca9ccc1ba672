/**
 * The idempotency keys that an incarnation remembers, bounded in number and bytes.
 *
 * A key is remembered until its pin can bring no new key, so that forgetting one never lets it run again.
 *
 * @module
 */
import type { Pin } from './pin.ts'
import { pinRememberedEpochs } from './pin.ts'

/** Bounds of a key memory. */
export interface CreateIdempotencyStoreOptions {
  /** Most keys at once. */
  maxKeys: number
  /** Most bytes of retained results at once. */
  maxResultBytes: number
}

/** A key with the pin that is its scope. */
export interface ScopedKey {
  /** Pin under which the key is used. */
  pin: Pin
  /** Value of `Idempotency-Key`. */
  key: string
}

/** The keys that an incarnation remembers, each with a value. */
export interface IdempotencyStore<Value> {
  /** Returns what is remembered of a key. */
  find (scoped: ScopedKey): Value | undefined
  /** Remembers a new key; returns whether there was room for it. */
  remember (scoped: ScopedKey, value: Value): boolean
  /** Reserves bytes for the result of a remembered key; returns whether there was room for them. */
  reserveBytes (scoped: ScopedKey, bytes: number): boolean
  /** Forgets a key that did not run. */
  remove (scoped: ScopedKey): void
  /** Forgets the keys of all epochs that can bring no new key. */
  expire (epoch: number): void
  /** Counts the keys. */
  count (): number
  /** Sums the bytes reserved for results. */
  sumBytes (): number
}

interface EpochKeys<Value> {
  entries: Map<string, { value: Value, bytes: number }>
  bytes: number
}

/**
 * Creates an empty memory.
 *
 * @param options Its bounds
 * @returns The memory
 */
export function createIdempotencyStore<Value> (options: CreateIdempotencyStoreOptions): IdempotencyStore<Value> {
  const epochs = new Map<number, EpochKeys<Value>>()
  let keys = 0
  let resultBytes = 0

  return {
    find: scoped => epochs.get(scoped.pin.epoch)?.entries.get(formatKey(scoped))?.value,
    remember (scoped, value) {
      if (keys >= options.maxKeys) return false
      const kept = epochs.get(scoped.pin.epoch) ?? { entries: new Map(), bytes: 0 }
      epochs.set(scoped.pin.epoch, kept)
      kept.entries.set(formatKey(scoped), { value, bytes: 0 })
      keys++
      return true
    },
    reserveBytes (scoped, bytes) {
      const kept = epochs.get(scoped.pin.epoch)
      const entry = kept?.entries.get(formatKey(scoped))
      if (kept === undefined || entry === undefined || resultBytes + bytes > options.maxResultBytes) return false
      entry.bytes += bytes
      kept.bytes += bytes
      resultBytes += bytes
      return true
    },
    remove (scoped) {
      const kept = epochs.get(scoped.pin.epoch)
      const entry = kept?.entries.get(formatKey(scoped))
      if (kept === undefined || entry === undefined) return
      kept.entries.delete(formatKey(scoped))
      kept.bytes -= entry.bytes
      resultBytes -= entry.bytes
      keys--
    },
    expire (epoch) {
      for (const [old, kept] of epochs) {
        if (epoch - old <= pinRememberedEpochs) continue
        epochs.delete(old)
        keys -= kept.entries.size
        resultBytes -= kept.bytes
      }
    },
    count: () => keys,
    sumBytes: () => resultBytes
  }
}

function formatKey ({ pin, key }: ScopedKey): string {
  return `${pin.nonce}.${key}`
}
