/**
 * In-memory store of the idempotency keys that one incarnation of an instance has accepted, bounded in number and bytes.
 *
 * A key is retained for longer than its pin admits new keys. A repeated request whose key has expired is therefore
 * refused because of its pin, and does not run again.
 *
 * @module
 */
import type { Pin } from './pin.ts'
import { pinRetainedEpochs } from './pin.ts'

/** Options of {@linkcode createIdempotencyStore}. */
export interface CreateIdempotencyStoreOptions {
  /** Maximum number of keys. */
  maxKeys: number
  /** Maximum number of bytes reserved for results. */
  maxResultBytes: number
}

/** An idempotency key with the pin that scopes it. */
export interface ScopedKey {
  /** Pin under which the key is used. */
  pin: Pin
  /** Value of the `Idempotency-Key` header field. */
  key: string
}

/** The idempotency keys of one incarnation, each with a value. */
export interface IdempotencyStore<Value> {
  /** Returns the value of a key, or `undefined` for an unknown key. */
  find (scoped: ScopedKey): Value | undefined
  /** Adds a new key; returns `false` if the store is full. */
  add (scoped: ScopedKey, value: Value): boolean
  /** Reserves bytes for the result of a key; returns `false` if the key is unknown or the bytes do not fit. */
  reserveBytes (scoped: ScopedKey, bytes: number): boolean
  /** Removes a key whose request did not run, and releases its bytes. */
  remove (scoped: ScopedKey): void
  /** Removes the keys whose pins were issued more than {@linkcode pinRetainedEpochs} epochs before `epoch`. */
  expire (epoch: number): void
  /** Returns the number of keys. */
  count (): number
  /** Returns the number of bytes reserved for results. */
  sumBytes (): number
}

interface EpochKeys<Value> {
  entries: Map<string, { value: Value, bytes: number }>
  bytes: number
}

/**
 * Creates an empty idempotency store.
 *
 * @param options Bounds of the store
 * @returns The store
 */
export function createIdempotencyStore<Value> (options: CreateIdempotencyStoreOptions): IdempotencyStore<Value> {
  const epochs = new Map<number, EpochKeys<Value>>()
  let keyCount = 0
  let resultBytes = 0

  return {
    find: scoped => epochs.get(scoped.pin.epoch)?.entries.get(formatKey(scoped))?.value,
    add (scoped, value) {
      if (keyCount >= options.maxKeys) return false
      const epochKeys = epochs.get(scoped.pin.epoch) ?? { entries: new Map(), bytes: 0 }
      epochs.set(scoped.pin.epoch, epochKeys)
      epochKeys.entries.set(formatKey(scoped), { value, bytes: 0 })
      keyCount++
      return true
    },
    reserveBytes (scoped, bytes) {
      const epochKeys = epochs.get(scoped.pin.epoch)
      const entry = epochKeys?.entries.get(formatKey(scoped))
      if (epochKeys === undefined || entry === undefined || resultBytes + bytes > options.maxResultBytes) return false
      entry.bytes += bytes
      epochKeys.bytes += bytes
      resultBytes += bytes
      return true
    },
    remove (scoped) {
      const epochKeys = epochs.get(scoped.pin.epoch)
      const entry = epochKeys?.entries.get(formatKey(scoped))
      if (epochKeys === undefined || entry === undefined) return
      epochKeys.entries.delete(formatKey(scoped))
      epochKeys.bytes -= entry.bytes
      resultBytes -= entry.bytes
      keyCount--
    },
    expire (epoch) {
      for (const [issuedEpoch, epochKeys] of epochs) {
        if (epoch - issuedEpoch <= pinRetainedEpochs) continue
        epochs.delete(issuedEpoch)
        keyCount -= epochKeys.entries.size
        resultBytes -= epochKeys.bytes
      }
    },
    count: () => keyCount,
    sumBytes: () => resultBytes
  }
}

function formatKey ({ pin, key }: ScopedKey): string {
  return `${pin.nonce}.${key}`
}
